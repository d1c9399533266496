#include "expect_invalid_input.hpp"
#include "state/routing_tables_merge.hpp"
#include "state/routing_tables_toml.hpp"

using namespace pomelospread;

namespace {

constexpr char const* good_routes = R"([[route]]
name = "badge-lookup"          # lookups of badge status
path_prefix = "/badges"
methods = ["GET"]
pool = "badge-register"
idempotent = true
)";

constexpr char const* good_pools = R"([[pool]]
name = "badge-register"
slots_per_target = 6
[[pool.target]]
address = "127.0.0.1:7101"
zone = "civic-hall"
)";

routing_tables read(std::string const& routes, std::string const& pools) {
    return parse_tables({"routes.toml", routes}, {"pools.toml", pools});
}

/// One change to a good file that makes it bad, and what the error must say.
struct bad_case {
    char const* in_routes;
    char const* in_pools;
    char const* wanted;
};

} // namespace

TEST_GROUP(tables){};

TEST(tables, reads_what_it_writes) {
    auto const first = read(good_routes, good_pools);
    auto const second = read(format_routes(first), format_pools(first));
    CHECK(first.routes == second.routes);
    CHECK(first.pools == second.pools);
}

TEST(tables, names_file_line_field_and_range_of_each_problem) {
    constexpr bad_case cases[] = {
        {"deadline_ms = 0\n", "",
         "routes.toml:1: route \"badge-lookup\".deadline_ms: 0 is out of range (allowed: 1 to 600000)"},
        {"deadline_ms = \"long\"\n", "",
         "routes.toml:7: route \"badge-lookup\".deadline_ms: has the wrong type"},
        {"colour = 1\n", "", "routes.toml:7: route \"badge-lookup\".colour: no such field"},
        {"= 1\n", "", "routes.toml:7: syntax"},
        {"[[route]]\nname = \"x\"\n", "", "routes.toml:7: route \"x\".path_prefix: is missing"},
        {"", "[[pool.target]]\naddress = \"here:1\"\nzone = \"a\"\n",
         "pools.toml:7: pool \"badge-register\".target.address"},
        {"", "[[pool.target]]\naddress = \"127.0.0.1:7101\"\nzone = \"a\"\n", "stands twice"},
        {"", "[[pool]]\nname = \"p\"\nslots_per_target = 5000\n",
         "pools.toml:7: pool \"p\".slots_per_target: 5000 is out of range (allowed: 1 to 4096)"},
        {"", "[[pool]]\nname = \"A b\"\nslots_per_target = 1\n", "is not a name"},
    };
    for (auto const& each : cases) {
        expect_invalid_input(
            [&] { read(std::string(good_routes) + each.in_routes, std::string(good_pools) + each.in_pools); },
            each.wanted);
    }
}

TEST(tables, reports_problems_of_both_files_together) {
    auto const both = [] { read(std::string(good_routes) + "colour = 1\n", "[[pool]]\nname = \"p\"\n"); };
    expect_invalid_input(both, "routes.toml:7");
    expect_invalid_input(both, "pools.toml:1: pool \"p\".slots_per_target: is missing");
}

TEST(tables, requires_every_route_to_have_its_pool) {
    expect_invalid_input([] { read(good_routes, ""); }, "no pool has the name \"badge-register\"");
}

TEST(tables, finds_the_longest_prefix_at_a_segment_border) {
    auto value = read(good_routes, good_pools);
    value.routes.push_back(value.routes.front());
    value.routes.back().name = "exam";
    value.routes.back().path_prefix = "/badges/exam";
    STRCMP_EQUAL("badge-lookup", value.find_route("GET", "/badges/7")->name.c_str());
    STRCMP_EQUAL("exam", value.find_route("GET", "/badges/exam/7")->name.c_str());
    STRCMP_EQUAL("badge-lookup", value.find_route("GET", "/badges/examiner")->name.c_str());
    POINTERS_EQUAL(nullptr, value.find_route("GET", "/badgesque"));
    POINTERS_EQUAL(nullptr, value.find_route("POST", "/badges"));
}

TEST_GROUP(merge){};

TEST(merge, keeps_both_operators_changes) {
    auto const base = read(good_routes, good_pools);
    auto mine = base;
    mine.pools.front().slots_per_target = 4;
    auto theirs = base;
    theirs.version = 9;
    theirs.routes.front().deadline = std::chrono::milliseconds(50);
    auto const merged = merge_tables(base, mine, theirs);
    LONGS_EQUAL(4, merged.pools.front().slots_per_target);
    LONGS_EQUAL(50, merged.routes.front().deadline.count());
    LONGS_EQUAL(9, merged.version);
}

TEST(merge, refuses_to_revert_another_accepted_edit) {
    auto const base = read(good_routes, good_pools);
    auto mine = base;
    mine.pools.front().slots_per_target = 4;
    auto theirs = base;
    theirs.pools.front().slots_per_target = 5;
    CHECK_THROWS(merge_conflict, merge_tables(base, mine, theirs));
}

TEST(merge, refuses_edits_that_are_only_jointly_invalid) {
    auto base = read(good_routes, good_pools);
    base.pools.push_back({.name = "spare", .slots_per_target = 1});
    auto mine = base;
    mine.pools.pop_back();
    auto theirs = base;
    theirs.routes.push_back(theirs.routes.front());
    theirs.routes.back().name = "spare-lookup";
    theirs.routes.back().path_prefix = "/spare";
    theirs.routes.back().pool = "spare";
    expect_invalid_input([&] { static_cast<void>(merge_tables(base, mine, theirs)); },
                         "no pool has the name \"spare\"");
}

TEST(merge, an_old_checkout_without_changes_changes_nothing) {
    auto const base = read(good_routes, good_pools);
    auto theirs = base;
    theirs.pools.front().targets.clear();
    CHECK(diff_tables(theirs, merge_tables(base, base, theirs)).empty());
}
