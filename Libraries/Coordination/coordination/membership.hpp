// Which instances are alive: the platform's lagging list corrected by heartbeats that spread by gossip.
//
// Each instance counts its own heartbeat up and sends what it knows of a few others to a few peers; a member
// whose counter stops advancing becomes suspect, then dead (van Renesse, Minsky and Hayden, "A gossip-style
// failure detection service", Middleware 1998). A counter reaches an instance over any path, so one bad link
// is not a death.
#pragma once

#include "base/random.hpp"
#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace pomelospread {

enum class member_status : std::uint8_t { alive, leaving, suspect, dead };

[[nodiscard]] std::string_view to_string(member_status status) noexcept;

/// One member in a gossip message.
struct member_digest {
    instance_id id = 0;
    std::uint32_t heartbeat = 0;
    bool leaving = false;
};

/// What one heartbeat message carries; its size does not grow with the fleet.
struct gossip_message {
    instance_entry sender;
    std::uint64_t tables_version = 0;
    std::vector<member_digest> digests;
};

struct membership_limits {
    std::chrono::milliseconds heartbeat_period{250};
    /// Both hold while a message has room for every member; beyond that they grow with the fleet, since the
    /// bytes a second stay the same and news of each member becomes rarer.
    std::chrono::milliseconds suspect_after{1500};
    std::chrono::milliseconds dead_after{5000};
    /// A gap between two ticks that shows that this process was paused.
    std::chrono::milliseconds pause_threshold{1000};
    std::size_t gossip_fan_out = 2;
    std::size_t digests_per_message = 16;
};

/// A member as this instance sees it.
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

    /// Merges the platform's list; entries it lacks are kept while their heartbeat advances. One that is
    /// dead here and still listed is sent a heartbeat now and then, so that a cut that ends is found out.
    void merge_platform_list(std::span<instance_entry const> entries, time_point now);
    /// Merges a heartbeat message of a peer.
    void apply_gossip(gossip_message const& message, time_point now);
    /// Counts the own heartbeat up; call once per `heartbeat_period`. Returns whether a pause was detected,
    /// after which every member is given a fresh chance and nothing is concluded from the silence.
    bool tick(time_point now);
    /// The message to send now, with digests chosen at random.
    [[nodiscard]] gossip_message make_gossip_message(std::uint64_t tables_version, random_source& random);
    /// Up to `gossip_fan_out` members to send it to, chosen at random among those not dead, and one that is
    /// dead but listed if there is any.
    [[nodiscard]] std::vector<instance_entry> choose_gossip_peers(random_source& random) const;

    /// A message to this member was refused or not answered. It counts as suspect for this instance at once,
    /// until its heartbeat advances again; the other members are not told, since only this link may be bad.
    void mark_suspect(instance_id id);

    void set_leaving() noexcept { m_self.leaving = true; }

    [[nodiscard]] instance_entry const& self() const noexcept { return m_self; }
    /// Every known member but the dead, this instance included, in order of their ids.
    [[nodiscard]] std::vector<member_view> view() const;

private:
    struct member {
        instance_entry entry;
        std::uint32_t heartbeat = 0;
        time_point heartbeat_advanced_at;
        std::uint64_t tables_version = 0;
        bool locally_suspected = false; ///< `mark_suspect` was called since the heartbeat advanced.
        bool has_heartbeat = false;     ///< A heartbeat was seen, not only the platform's list.
    };

    /// How many times rarer news of a member is than in a fleet that fits one message.
    [[nodiscard]] double timeout_scale() const;
    [[nodiscard]] member_status status_of(member const& value) const;
    void evict_dead_members();

    instance_entry m_self;
    membership_limits m_limits;
    std::uint32_t m_heartbeat = 0;
    time_point m_now{};
    bool m_has_ticked = false;
    std::map<instance_id, member> m_members;
    /// Heartbeats at which members were declared dead, so that old gossip does not bring them back.
    std::map<instance_id, std::uint32_t> m_dead_heartbeats;
    std::vector<instance_entry> m_listed_dead_members; ///< Dead here, but named by the platform's list.
};

} // namespace pomelospread
