// Keeps old rows of a restored store from undoing what is known of the targets.
#pragma once

#include "coordination/target_list_snapshot.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace pomelospread {

/// A store that comes back from an older copy lists targets that have left since, and targets that announced
/// their stop as ready. Its rows count only once they were written in the new era: their version is above the
/// first one of the era that this instance heard of, or their sequence above that of the first read. Until
/// then what is known of a target holds, except that a row's announcement of a stop is true at any age. Not
/// thread-safe.
class restored_list_filter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// The platform removes the entry of a target that is silent for three heartbeat intervals, of up to two
    /// seconds each; a target whose row is still listed after this time in the new era has not ended.
    static constexpr auto entry_expiry_time = std::chrono::milliseconds(7000);

    /// A newer era has begun. `version` is the first one of it that this instance hears of; `known` is the
    /// list before.
    void begin_era(store_version version, std::span<listed_target const> known, time_point now);
    /// Corrects a list that was read from the platform in that era.
    void correct_platform_list(target_list_snapshot& list, std::span<listed_target const> known,
                               time_point read_at);
    /// Corrects a peer's list of that era: the peer may not have known that a target was leaving.
    void correct_peer_list(target_list_snapshot& list) const;

private:
    struct first_row {
        std::int64_t started_unix_ms = 0;
        std::int64_t sequence = 0;
    };

    /// Whether this incarnation was known as leaving when the era began.
    [[nodiscard]] bool was_leaving(listed_target const& target) const;
    [[nodiscard]] bool was_written_since(listed_target const& target, row_write const& write);

    time_point m_began_at{};
    store_version m_first; ///< Era 0: no newer era has begun.
    std::map<std::string, first_row> m_first_rows;
    std::map<std::string, std::int64_t> m_leaving; ///< The incarnations that were leaving before, by id.
};

} // namespace pomelospread
