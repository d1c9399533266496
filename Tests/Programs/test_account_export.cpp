#include "account_export.hpp"
#include "coordination/in_memory_platform.hpp"
#include "state/account_journal.hpp"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace pomelospread;

namespace {

account_record make_record(std::string id, std::string outcome, std::string customer = "c") {
    return {.id = std::move(id),
            .customer = std::move(customer),
            .unix_ms = 5,
            .path = "/a,\"b",
            .outcome = std::move(outcome)};
}

void put(object_store& store, account_segment const& segment) {
    store.put(segment_object_name(segment), encode_segment(segment));
}

exported_account run_export(object_store& store, std::vector<instance_id> const& live_instances) {
    return export_account(store, {.customer = "c", .from_unix_ms = 0, .to_unix_ms = 9}, live_instances,
                          [](auto, auto) {});
}

} // namespace

TEST_GROUP(account_export){};

TEST(account_export, merges_records_with_one_id_and_prefers_the_one_with_an_outcome) {
    in_memory_platform platform;
    auto& store = platform.objects();
    put(store, {.owner = 7,
                .first_sequence = 1,
                .last_sequence = 2,
                .records = {make_record("a", ""), make_record("x", "ran", "other")}});
    put(store, {.owner = 7,
                .first_sequence = 3,
                .last_sequence = 3,
                .final = true,
                .records = {make_record("a", "ran")}});
    put(store, {.owner = 7,
                .first_sequence = 1,
                .last_sequence = 1,
                .recovered = true,
                .records = {make_record("a", "")}});
    auto const result = run_export(store, {});
    LONGS_EQUAL(1, result.records.size());
    STRCMP_EQUAL("ran", result.records.front().outcome.c_str());
    CHECK(result.coverage_gaps.empty());
}

TEST(account_export, reports_coverage_gaps) {
    in_memory_platform platform;
    auto& store = platform.objects();
    put(store, {.owner = 1, .first_sequence = 1, .last_sequence = 1, .records = {make_record("a", "ran")}});
    put(store, {.owner = 1,
                .first_sequence = 4,
                .last_sequence = 4,
                .final = true,
                .records = {make_record("b", "ran")}});
    put(store, {.owner = 2, .first_sequence = 1, .last_sequence = 1, .records = {make_record("d", "ran")}});
    put(store, {.owner = 3, .first_sequence = 1, .last_sequence = 1, .records = {make_record("e", "ran")}});
    auto const result = run_export(store, {3});
    LONGS_EQUAL(3, result.coverage_gaps.size());
    STRCMP_EQUAL("records 2-3 are missing", result.coverage_gaps[0].reason.c_str());
    STRCMP_EQUAL("it ended without its last records being recovered", result.coverage_gaps[1].reason.c_str());
    LONGS_EQUAL(3, result.coverage_gaps[2].owner);
}

TEST(account_export, quotes_csv_fields) {
    std::ostringstream out;
    write_account(out, {.records = {make_record("a", "ran")}, .coverage_gaps = {}}, account_format::csv);
    CHECK(out.str().find("\"/a,\"\"b\"") != std::string::npos);
}
