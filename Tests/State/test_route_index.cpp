#include "state/route_index.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace pomelospread;

TEST_GROUP(route_index_lookup) {
    route_index index{routing_tables{
        .version = 1,
        .routes = {{.name = "wide", .host = "a.example", .path_prefix = "/x/", .pool = "p"},
                   {.name = "narrow", .host = "a.example", .path_prefix = "/x/y/", .pool = "q"},
                   {.name = "other", .host = "b.example", .path_prefix = "/x/", .pool = "r"}}}};
};

TEST(route_index_lookup, finds_the_longest_prefix_of_the_host) {
    struct lookup_case {
        char const* host;
        char const* path;
        char const* route; ///< nullptr when no route is found.
    };
    std::array<lookup_case, 7> const cases{{{"a.example", "/x/y/z", "narrow"},
                                            {"a.example", "/x/yz", "wide"},
                                            {"A.Example:8080", "/x/1", "wide"},
                                            {"b.example", "/x/y/z", "other"},
                                            {"c.example", "/x/", nullptr},
                                            {"a.example", "/x", nullptr},
                                            {"", "/x/", nullptr}}};
    for (auto const& each : cases) {
        auto const* found = index.find(each.host, each.path);
        if (each.route == nullptr) {
            POINTERS_EQUAL(nullptr, found);
        } else {
            STRCMP_EQUAL(each.route, found->name.c_str());
        }
    }
}
