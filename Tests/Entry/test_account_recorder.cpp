#include "entry/account_recorder.hpp"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace pomelospread;

namespace {

/// Requests arrive while an object is written.
class busy_store final : public object_store {
public:
    void put(std::string_view name, std::string_view content) override {
        names.emplace_back(name);
        records += decode_segment(content).records.size();
        while_writing();
    }
    std::optional<std::string> get(std::string_view /*name*/) override { return std::nullopt; }
    std::vector<std::string> list(std::string_view /*prefix*/) override { return names; }

    std::vector<std::string> names;
    std::size_t records = 0;
    std::function<void()> while_writing = [] {};
};

} // namespace

TEST_GROUP(account_keepers) {
    metrics counters;
    account_recorder keeper{1, 1000, counters};
    busy_store store;

    void append(int count) {
        for (int i = 0; i < count; ++i) {
            CHECK(keeper.append({.id = "r"}).has_value());
        }
    }
};

TEST(account_keepers, a_flush_writes_one_object_while_requests_go_on) {
    append(5);
    int arrivals = 20;
    store.while_writing = [&] { append(arrivals-- > 0 ? 2 : 0); };
    CHECK(keeper.flush(store, {}, false));
    LONGS_EQUAL(1, store.names.size());
    CHECK(keeper.flush(store, {}, false));
    LONGS_EQUAL(2, store.names.size());
    LONGS_EQUAL(7, store.records);
}

TEST(account_keepers, a_final_flush_leaves_nothing) {
    append(5);
    CHECK(keeper.flush(store, {}, true));
    LONGS_EQUAL(5, store.records);
    LONGS_EQUAL(0, keeper.size());
}

TEST(account_keepers, a_flush_with_nothing_new_writes_nothing) {
    CHECK(keeper.flush(store, {}, false));
    LONGS_EQUAL(0, store.names.size());
}
