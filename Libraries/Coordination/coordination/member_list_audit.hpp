// Compares the platform's list of members with what an instance believes, each time the list is read.
#pragma once

#include "coordination/member_registry.hpp"
#include "coordination/membership.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace pomelospread {

struct member_list_audit_policy {
    /// All instances that know each other read the list together once in this time. Two groups that do not
    /// know each other find each other within about this time.
    std::chrono::milliseconds fleet_interval{4000};
    /// The row of an instance that was never heard for so long, over several reads, is removed. One that is
    /// only cut off writes its row again.
    std::chrono::seconds silence_until_removal{60};
    /// Instances that this one makes known to others in a second at most; each is a message to all of them.
    std::size_t max_introductions_per_second = 10;
};

/// What a read of the list shows to be wrong.
struct member_list_findings {
    /// This instance's row is missing or another process's; it is to be written over that version.
    bool is_unregistered = false;
    std::uint64_t own_row_version = 0;
    /// Instances that are listed and not heard: they may not know this instance either.
    std::vector<instance_entry> unheard;
    std::vector<listed_member> gone; ///< Their rows are to be removed.
};

/// Not thread-safe; time is passed in.
class member_list_audit {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit member_list_audit(member_list_audit_policy policy = {}) : m_policy(policy) {}

    /// `members` has the list merged already.
    [[nodiscard]] member_list_findings compare(std::span<listed_member const> listed,
                                               membership const& members, time_point now);
    /// A heartbeat came from the instance itself; call before `membership::apply_gossip`. Returns whether the
    /// others are to be told of it: it was not known here, or it was unheard in the last read of the list.
    [[nodiscard]] bool should_introduce(instance_id sender, membership const& members, time_point now);
    /// Whether this instance is to read the list. The mean interval grows with the members, so that the cost
    /// does not grow with the fleet; intervals are distributed exponentially, so that some instance reads
    /// soon after any moment.
    [[nodiscard]] bool is_read_due(membership const& members, time_point now, random_source& random);

private:
    member_list_audit_policy m_policy;
    time_point m_last_read{};
    double m_intervals_until_read = 0; ///< Mean intervals between the last read and the next one.
    std::map<instance_id, time_point> m_silent_since;
    std::set<instance_id> m_unheard; ///< In the last read, and not heard since.
    time_point m_introductions_since{};
    std::size_t m_introductions = 0;
};

} // namespace pomelospread
