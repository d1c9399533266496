#include "state/route_index.hpp"

#include <CppUTest/TestHarness.h>

#include <array>

using namespace pomelospread;

TEST_GROUP(workspace_lookup) {
    route_index index{routing_tables{
        .version = 1,
        .routes = {{.name = "open", .host = "h", .path_prefix = "/o/", .pool = "p", .is_public = true},
                   {.name = "closed", .host = "h", .path_prefix = "/c/", .pool = "p"}},
        .workspaces = {{{.name = "a", .key_digests = {digest_of_key("a1"), digest_of_key("a2")}},
                        {.name = "b", .key_digests = {digest_of_key("b1")}}}}}};
};

TEST(workspace_lookup, finds_the_workspace_that_holds_the_key) {
    struct lookup_case {
        char const* key;
        char const* workspace; ///< nullptr when no workspace holds the key.
    };
    std::array<lookup_case, 7> const cases{{{"a1", "a"},
                                            {"a2", "a"},
                                            {"b1", "b"},
                                            {"", nullptr},
                                            {"a", nullptr},
                                            {"A1", nullptr},
                                            {"a1 ", nullptr}}};
    for (auto const& each : cases) {
        auto const* found = index.find_workspace(each.key);
        if (each.workspace == nullptr) {
            POINTERS_EQUAL(nullptr, found);
        } else {
            STRCMP_EQUAL(each.workspace, found->name.c_str());
        }
    }
}

TEST(workspace_lookup, only_tables_with_workspaces_require_keys) {
    CHECK_FALSE(index.needs_key(*index.find("h", "/o/1")));
    CHECK(index.needs_key(*index.find("h", "/c/1")));
    route_index const without(routing_tables{.version = 1, .routes = {{.name = "r", .path_prefix = "/"}}});
    CHECK_FALSE(without.needs_key(without.tables().routes.front()));
    POINTERS_EQUAL(nullptr, without.find_workspace("a1"));
}
