#include "base/errors.hpp"
#include "gateway/object_collector.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

/// An object store that fails while `is_down`.
class failing_store final : public object_store {
public:
    void put(std::string_view name, std::string_view content) override {
        ++put_count;
        if (is_down) {
            throw platform_unavailable("down");
        }
        m_objects[std::string(name)] = content;
    }
    [[nodiscard]] std::optional<std::string> get(std::string_view name) override {
        return m_objects.at(std::string(name));
    }
    [[nodiscard]] std::vector<std::string> list(std::string_view prefix) override {
        std::vector<std::string> names;
        for (auto const& [name, content] : m_objects) {
            if (name.starts_with(prefix)) {
                names.push_back(name);
            }
        }
        return names;
    }

    std::atomic<int> put_count{0};
    std::atomic<bool> is_down{false};

private:
    std::map<std::string, std::string> m_objects;
};

} // namespace

TEST_GROUP(object_collectors) {
    failing_store store;
    io_thread thread{"test"};
    std::unique_ptr<object_collector> collector;

    void setup() override {
        collector = std::make_unique<object_collector>(
            thread, store, 7, object_collector_limits{.window = 50ms, .max_group_bytes = 5000});
    }

    void teardown() override {
        thread.stop();
    }

    /// Submits objects of `bytes` each at the same time and returns how many were stored.
    int submit(int count, std::size_t bytes) {
        std::atomic<int> stored{0};
        std::atomic<int> ended{0};
        for (int i = 0; i < count; ++i) {
            thread.spawn([&, i] {
                try {
                    collector->put("accounts/" + std::to_string(i), std::string(bytes, 'a'));
                    ++stored;
                } catch (platform_unavailable const&) {
                }
                ++ended;
            });
        }
        while (ended < count) {
            std::this_thread::sleep_for(1ms);
        }
        return stored;
    }

    std::size_t stored_object_count() {
        std::size_t count = 0;
        for (auto const& name : store.list("account-groups/")) {
            count += decode_object_group(*store.get(name)).size();
        }
        return count;
    }
};

TEST(object_collectors, objects_of_many_instances_are_stored_by_one_call) {
    LONGS_EQUAL(90, submit(90, 20));
    LONGS_EQUAL(1, store.put_count);
    LONGS_EQUAL(90, stored_object_count());
}

TEST(object_collectors, a_group_that_was_not_stored_is_told_to_all_and_can_be_submitted_again) {
    store.is_down = true;
    LONGS_EQUAL(0, submit(20, 20));
    store.is_down = false;
    LONGS_EQUAL(20, submit(20, 20));
    LONGS_EQUAL(20, stored_object_count());
}

TEST(object_collectors, groups_are_bounded) {
    LONGS_EQUAL(40, submit(40, 1000));
    CHECK(store.put_count >= 8);
    LONGS_EQUAL(40, stored_object_count());
}

TEST(object_collectors, groups_of_malformed_bytes_are_refused) {
    CHECK_THROWS(malformed_message, decode_object_group("\x01\xff\xff\xff\xff\xff\xff\xff\x7f"));
}
