#include "entry/account_recorder.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace pomelospread;

namespace {

/// Records what is stored and calls `during_put` during each write, to simulate requests that arrive
/// meanwhile.
class recording_store final : public object_store {
public:
    void put(std::string_view name, std::string_view content) override {
        names.emplace_back(name);
        records += decode_segment(content).records.size();
        during_put();
    }
    std::optional<std::string> get(std::string_view /*name*/) override { return std::nullopt; }
    std::vector<std::string> list(std::string_view /*prefix*/) override { return names; }

    std::vector<std::string> names;
    std::size_t records = 0;
    std::function<void()> during_put = [] {};
};

} // namespace

TEST_GROUP(account_recorder) {
    metrics counters;
    account_recorder recorder{1, 1000, counters};
    recording_store store;

    void append(int count) {
        for (int i = 0; i < count; ++i) {
            CHECK(recorder.append({.id = "r"}).has_value());
        }
    }
};

TEST(account_recorder, a_flush_writes_one_object_while_new_records_arrive) {
    append(5);
    int remaining_arrivals = 20;
    store.during_put = [&] { append(remaining_arrivals-- > 0 ? 2 : 0); };
    CHECK(recorder.flush(store, {}, false));
    LONGS_EQUAL(1, store.names.size());
    CHECK(recorder.flush(store, {}, false));
    LONGS_EQUAL(2, store.names.size());
    LONGS_EQUAL(7, store.records);
}

TEST(account_recorder, a_final_flush_stores_and_removes_every_record) {
    append(5);
    CHECK(recorder.flush(store, {}, true));
    LONGS_EQUAL(5, store.records);
    LONGS_EQUAL(0, recorder.size());
}

TEST(account_recorder, a_flush_without_new_records_writes_no_object) {
    CHECK(recorder.flush(store, {}, false));
    LONGS_EQUAL(0, store.names.size());
}
