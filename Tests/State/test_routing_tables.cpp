#include "expect_invalid_input.hpp"
#include "state/routing_tables_merge.hpp"
#include "state/routing_tables_toml.hpp"

using namespace pomelospread;

namespace {

constexpr char const* valid_routes = R"([[route]]
name = "badge-lookup"          # lookups of badge status
path_prefix = "/badges"
methods = ["GET"]
pool = "badge-register"
idempotent = true
)";

constexpr char const* valid_pools = R"([[pool]]
name = "badge-register"
slots_per_target = 6
[[pool.target]]
address = "127.0.0.1:7101"
zone = "civic-hall"
)";

routing_tables parse(std::string const& routes, std::string const& pools) {
    return parse_tables({"routes.toml", routes}, {"pools.toml", pools});
}

/// Text that makes a valid file invalid when it is appended, and what the error message must contain.
struct invalid_case {
    char const* routes_suffix;
    char const* pools_suffix;
    char const* expected;
};

} // namespace

TEST_GROUP(routing_tables){};

TEST(routing_tables, formatted_tables_parse_to_the_same_rows) {
    auto const first = parse(valid_routes, valid_pools);
    auto const second = parse(format_routes(first), format_pools(first));
    CHECK(first.routes == second.routes);
    CHECK(first.pools == second.pools);
}

TEST(routing_tables, reports_file_line_field_and_range_of_each_problem) {
    constexpr invalid_case cases[] = {
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
            [&] {
                parse(std::string(valid_routes) + each.routes_suffix,
                      std::string(valid_pools) + each.pools_suffix);
            },
            each.expected);
    }
}

TEST(routing_tables, reports_problems_of_both_files_together) {
    auto const parse_both = [] {
        parse(std::string(valid_routes) + "colour = 1\n", "[[pool]]\nname = \"p\"\n");
    };
    expect_invalid_input(parse_both, "routes.toml:7");
    expect_invalid_input(parse_both, "pools.toml:1: pool \"p\".slots_per_target: is missing");
}

TEST(routing_tables, requires_the_pool_of_every_route_to_exist) {
    expect_invalid_input([] { parse(valid_routes, ""); }, "no pool has the name \"badge-register\"");
}

TEST(routing_tables, finds_the_longest_prefix_that_ends_at_a_segment_boundary) {
    auto tables = parse(valid_routes, valid_pools);
    tables.routes.push_back(tables.routes.front());
    tables.routes.back().name = "exam";
    tables.routes.back().path_prefix = "/badges/exam";
    STRCMP_EQUAL("badge-lookup", tables.find_route("GET", "/badges/7")->name.c_str());
    STRCMP_EQUAL("exam", tables.find_route("GET", "/badges/exam/7")->name.c_str());
    STRCMP_EQUAL("badge-lookup", tables.find_route("GET", "/badges/examiner")->name.c_str());
    POINTERS_EQUAL(nullptr, tables.find_route("GET", "/badgesque"));
    POINTERS_EQUAL(nullptr, tables.find_route("POST", "/badges"));
}

TEST_GROUP(routing_tables_merge){};

TEST(routing_tables_merge, keeps_both_operators_changes) {
    auto const base = parse(valid_routes, valid_pools);
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

TEST(routing_tables_merge, rejects_a_change_to_a_row_that_an_accepted_edit_changed) {
    auto const base = parse(valid_routes, valid_pools);
    auto mine = base;
    mine.pools.front().slots_per_target = 4;
    auto theirs = base;
    theirs.pools.front().slots_per_target = 5;
    CHECK_THROWS(merge_conflict, merge_tables(base, mine, theirs));
}

TEST(routing_tables_merge, rejects_edits_that_are_invalid_only_together) {
    auto base = parse(valid_routes, valid_pools);
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

TEST(routing_tables_merge, an_old_checkout_without_changes_leaves_the_accepted_tables) {
    auto const base = parse(valid_routes, valid_pools);
    auto theirs = base;
    theirs.pools.front().targets.clear();
    CHECK(diff_tables(theirs, merge_tables(base, base, theirs)).empty());
}
