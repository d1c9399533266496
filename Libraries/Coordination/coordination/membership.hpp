// Which instances are alive: the platform's list, which lags, corrected by heartbeats that spread by gossip.
//
// Each instance increments its own heartbeat counter and sends the counters of a few members to a few peers.
// A member whose counter stops advancing becomes suspect, then dead (van Renesse, Minsky and Hayden, "A
// gossip-style failure detection service", Middleware 1998). A counter can reach an instance over any path,
// so a single broken link does not make a member dead.
//
// A member is an instance as this instance sees it, including itself; a peer is another instance.
#pragma once

#include "base/random.hpp"
#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace pomelospread {

enum class member_status : std::uint8_t { alive, leaving, suspect, dead };

[[nodiscard]] std::string_view to_string(member_status status) noexcept;

/// The state of one member in a gossip message.
struct member_digest {
    instance_id id = 0;
    std::uint32_t heartbeat = 0;
    bool leaving = false;
};

/// The content of a heartbeat message; its size does not grow with the fleet.
struct gossip_message {
    instance_entry sender;
    std::uint64_t tables_version = 0;
    std::vector<member_digest> digests;
};

struct membership_limits {
    std::chrono::milliseconds heartbeat_period{250};
    /// Both apply while a message has room for every member. In larger fleets they grow with the number of
    /// members, since the bytes sent per second stay the same and digests of each member arrive less often.
    std::chrono::milliseconds suspect_after{1500};
    std::chrono::milliseconds dead_after{5000};
    /// Of a watched member in a large fleet, whose digests are sent more often. Callers are not to be sent to
    /// an instance that was lost 6 s ago.
    std::chrono::milliseconds watched_suspect_after{3500};
    /// A longer gap between two ticks means that this process was paused.
    std::chrono::milliseconds pause_threshold{1000};
    std::size_t gossip_fan_out = 2;
    std::size_t digests_per_message = 16;
    std::size_t watched_digests_per_message = 8; ///< At most, of those.
};

/// The state of a member from the view of this instance.
struct member_view {
    instance_entry entry;
    member_status status = member_status::alive;
    std::uint64_t tables_version = 0;
};

/// One instance's view of the fleet. Not thread-safe; time is passed in.
class membership {
public:
    using time_point = std::chrono::steady_clock::time_point;

    membership(instance_entry self, membership_limits limits);

    /// Merges the platform's list. Members that it lacks are retained while their heartbeat advances. Members
    /// that are dead here but still listed are sent a heartbeat occasionally, so that the end of a network
    /// partition is detected.
    void merge_platform_list(std::span<instance_entry const> entries, time_point now);
    /// Merges a heartbeat message of a peer.
    void apply_gossip(gossip_message const& message, time_point now);
    /// Increments this instance's heartbeat and evicts dead members; call once per `heartbeat_period`.
    /// Returns whether a pause of this process was detected. After a pause, the time since each member's last
    /// heartbeat is counted anew, since it does not show that the member failed.
    bool tick(time_point now);
    /// The message to send now, with this instance's digest and those of members chosen at random.
    [[nodiscard]] gossip_message make_gossip_message(std::uint64_t tables_version, random_source& random);
    /// The receivers of the message: up to `gossip_fan_out` members chosen at random among those not dead,
    /// and one that is dead but listed, if there is any.
    [[nodiscard]] std::vector<instance_entry> choose_gossip_peers(random_source& random) const;

    /// A message to this member was refused or got no reply. The member is suspect for this instance at once,
    /// until its heartbeat advances again. Other members are not notified, since only this link may be
    /// broken.
    void mark_suspect(instance_id id);

    /// Whether the instance is a member that is not dead, possibly one that only the platform's list names.
    [[nodiscard]] bool is_member(instance_id id) const { return m_members.contains(id); }
    /// Whether it is one whose heartbeats arrive.
    [[nodiscard]] bool is_heard(instance_id id) const;

    /// Sets the members that callers are sent to. Their digests are in every message, so that their loss is
    /// noticed as soon in a large fleet.
    /// A watched member that is suspect stays watched.
    void set_watched(std::set<instance_id> ids);

    void set_leaving() noexcept { m_self.leaving = true; }

    [[nodiscard]] instance_entry const& self() const noexcept { return m_self; }
    /// Every known member that is not dead, including this instance, in order of their ids.
    [[nodiscard]] std::vector<member_view> view() const;

private:
    struct member {
        instance_entry entry;
        std::uint32_t heartbeat = 0;
        time_point heartbeat_advanced_at;
        std::uint64_t tables_version = 0;
        bool locally_suspected = false; ///< `mark_suspect` was called after the heartbeat last advanced.
        bool has_heartbeat = false;     ///< False while only the platform's list names the member.
    };

    /// How many times less often digests of a member arrive than in a fleet that fits one message.
    [[nodiscard]] double timeout_scale() const;
    [[nodiscard]] std::chrono::duration<double, std::milli> suspect_after(instance_id id) const;
    [[nodiscard]] member_status status_of(member const& value) const;
    void evict_dead_members();

    instance_entry m_self;
    membership_limits m_limits;
    std::uint32_t m_heartbeat = 0;
    time_point m_now{};
    bool m_has_ticked = false;
    std::map<instance_id, member> m_members;
    std::set<instance_id> m_watched;
    /// The members that were declared dead, with their last heartbeats. Only the ids are used: the platform's
    /// list does not add these members again, only a message of their own does. Digests of members that are
    /// not in `m_members` are ignored.
    std::map<instance_id, std::uint32_t> m_dead_heartbeats;
    std::vector<instance_entry> m_listed_dead_members; ///< Dead here but still in the platform's list.
};

} // namespace pomelospread
