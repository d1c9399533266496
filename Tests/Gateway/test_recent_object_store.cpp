#include "base/errors.hpp"
#include "gateway/recent_object_store.hpp"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

class failing_object_store final : public object_store {
public:
    void put(std::string_view name, std::string_view content) override {
        if (failures > 0) {
            --failures;
            throw platform_unavailable("fails on purpose");
        }
        objects[std::string(name)] = content;
    }
    std::optional<std::string> get(std::string_view /*name*/) override { return std::nullopt; }
    std::vector<std::string> list(std::string_view /*prefix*/) override { return {}; }

    std::map<std::string, std::string> objects;
    int failures = 0;
};

} // namespace

TEST_GROUP(recent_object_stores) {
    failing_object_store platform;
};

TEST(recent_object_stores, lost_objects_are_stored_again_also_after_a_failure) {
    recent_object_store store(platform, {.retry_delay = 1ms});
    store.put("a", "1");
    store.put("b", "2");
    auto const stored = platform.objects;
    platform.objects.clear();
    platform.failures = 2;
    store.store_again();
    CHECK(platform.objects == stored);
}

TEST(recent_object_stores, object_that_was_not_stored_is_not_kept) {
    recent_object_store store(platform);
    platform.failures = 1;
    CHECK_THROWS(platform_unavailable, store.put("a", "1"));
    store.store_again();
    CHECK(platform.objects.empty());
}

TEST(recent_object_stores, kept_objects_are_limited_in_bytes_and_age) {
    for (auto const& limits : {recent_object_limits{.max_bytes = 4}, recent_object_limits{.window = -1ms}}) {
        recent_object_store store(platform, limits);
        store.put("a", "1");
        store.put("b", "22");
        platform.objects.clear();
        store.store_again();
        LONGS_EQUAL(limits.max_bytes == 4 ? 1 : 0, platform.objects.size());
        CHECK_FALSE(platform.objects.contains("a"));
    }
}
