// Which instances have a part of what the fleet divides: they generate the tokens of its rates and save up
// its bursts of extra attempts. The division is a row of the platform's store, written under the condition of
// its version, and each holder has its part on a lease (Gray and Cheriton, "Leases: an efficient
// fault-tolerant mechanism for distributed file cache consistency", SOSP 1989).
#pragma once

#include "base/boot_clock.hpp"
#include "base/endpoint.hpp"
#include "coordination/store_version.hpp"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>

namespace pomelospread {

/// An instance's part of each rate and burst: one of `divisor` equal ones, or none.
struct rate_part {
    std::size_t divisor = 1;
    bool is_held = false;

    bool operator==(rate_part const&) const = default;
};

/// The division under one version of its row.
struct rate_division {
    store_version version; ///< Number 0: the store has no division.
    std::set<endpoint> holders;
    /// The holders before a change, while leases on their parts may last. Nobody has a larger part than
    /// before until the change is settled, which is a second write.
    std::optional<std::set<endpoint>> previous_holders;

    [[nodiscard]] bool is_settled() const noexcept { return !previous_holders; }
    [[nodiscard]] rate_part part_of(endpoint const& instance) const;

    bool operator==(rate_division const&) const = default;
};

/// What one instance tells another about the division.
struct rate_division_state {
    rate_division division;
    /// How long ago the store had this division or an older one; empty when that is not known.
    std::optional<std::chrono::milliseconds> confirmed_age;
};

/// One instance's lease on its part. A part ends `duration` after the last moment at which the store is known
/// to have had the division, so a holder that is cut off stops by itself before its part is given to others.
/// Not thread-safe; time is passed in.
class rate_lease {
public:
    using time_point = boot_clock::time_point;

    explicit rate_lease(std::chrono::milliseconds duration) : m_duration(duration) {}

    /// The store had `division`, if it is newer than the one known here, at a moment after `as_of`; a
    /// `time_point{}` states none. Returns whether it is newer.
    bool learn(rate_division const& division, time_point as_of, time_point now);

    [[nodiscard]] rate_division const& division() const noexcept { return m_division; }
    /// Whether it is known what division the store has, also that it has none.
    [[nodiscard]] bool is_known() const noexcept { return m_is_known; }
    /// When the division was learned here.
    [[nodiscard]] time_point learned_at() const noexcept { return m_learned_at; }
    [[nodiscard]] time_point confirmed_at() const noexcept { return m_confirmed_at; }
    [[nodiscard]] time_point valid_until() const noexcept;
    [[nodiscard]] rate_division_state state(time_point now) const;

private:
    std::chrono::milliseconds m_duration;
    rate_division m_division;
    bool m_is_known = false;
    time_point m_learned_at{};
    time_point m_confirmed_at{};
};

} // namespace pomelospread
