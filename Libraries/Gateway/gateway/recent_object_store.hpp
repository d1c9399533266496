// An object store that can store its last objects once more, after the platform's store lost them.
#pragma once

#include "coordination/platform.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

struct recent_object_limits {
    /// How old the copy may be from which the platform's store comes back; such copies are some seconds old.
    std::chrono::milliseconds window{60000};
    std::size_t max_bytes = std::size_t{4} * 1024 * 1024; ///< Kept in memory; the oldest objects are dropped.
    std::chrono::milliseconds retry_delay{1500};          ///< After an object could not be stored again.
};

/// Used on one thread; `put` and `store_again` suspend the calling fiber.
class recent_object_store final : public object_store {
public:
    explicit recent_object_store(object_store& platform, recent_object_limits limits = {})
        : m_platform(platform), m_limits(limits) {}

    void put(std::string_view name, std::string_view content) override;
    [[nodiscard]] std::optional<std::string> get(std::string_view name) override {
        return m_platform.get(name);
    }
    [[nodiscard]] std::vector<std::string> list(std::string_view prefix) override {
        return m_platform.list(prefix);
    }

    /// Stores every object again that was stored within the last `window`, under the same name. Objects that
    /// the platform still has do not change. Repeats a failed call until the window has passed.
    void store_again();

private:
    struct stored_object {
        std::string name;
        std::string content;
        std::chrono::steady_clock::time_point stored_at;
    };

    void drop_old_objects();
    [[nodiscard]] bool store_one_again(stored_object& object);

    object_store& m_platform;
    recent_object_limits m_limits;
    std::deque<std::shared_ptr<stored_object>> m_objects; ///< The oldest first.
    std::size_t m_bytes = 0;
    std::uint64_t m_requested_rounds = 0; ///< Calls of `store_again`; a round ends when there is a newer one.
};

} // namespace pomelospread
