// What targets stated about their own availability, remembered independently of the target lists.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace pomelospread {

/// Remembers the incarnations that get no requests, for good or for a time, because they said so. An older
/// list, or an entry that was removed and is back, does not change this; another incarnation under the same
/// id is not affected. Not thread-safe; time is passed in.
class target_exclusions {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// A target's id and `listed_target::started_unix_ms`.
    using incarnation_key = std::pair<std::string, std::int64_t>;

    /// How long an incarnation is remembered after it was last listed; far longer than any list stays in use.
    static constexpr auto max_unlisted_age = std::chrono::hours(1);
    /// Bounds the memory, about 150 bytes each. Beyond it, the one that was listed least recently is dropped.
    static constexpr std::size_t max_incarnations = 4096;

    /// Returns false when the incarnation was known to leave.
    bool record_leaving(incarnation_key const& target, time_point now);
    [[nodiscard]] bool is_leaving(incarnation_key const& target) const;
    /// The incarnation wants nothing before `until`. Of several such times the latest counts; returns false
    /// when `until` is not later than the known one.
    bool record_pause(incarnation_key const& target, time_point until, time_point now);
    /// The end of the incarnation's last known pause; the epoch of the clock when it has none.
    [[nodiscard]] time_point paused_until(incarnation_key const& target) const;
    /// The incarnation is in the current list: it is remembered for `max_unlisted_age` from now.
    void record_listed(incarnation_key const& target, time_point now);
    /// Drops the incarnations whose pause is over and that do not leave or were not listed for
    /// `max_unlisted_age`.
    void drop_expired(time_point now);
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct entry {
        time_point last_listed_at;
        bool leaving = false;
        time_point paused_until{};
    };

    [[nodiscard]] entry& find_or_add(incarnation_key const& target, time_point now);

    std::map<incarnation_key, entry> m_entries;
};

} // namespace pomelospread
