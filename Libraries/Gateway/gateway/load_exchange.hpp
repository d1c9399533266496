// Instances that send requests to the same pool send each other load updates: their requests in flight at its
// targets, the targets' load reports, and which of them said that they leave. Each then chooses targets with
// the same information.
#pragma once

#include "coordination/membership.hpp"
#include "gateway/fleet_messages.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/home_directory.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace pomelospread {

/// Used only on the instance's thread. The load updates of a pool are sent to its home instances and to those
/// whose own load updates show that they use it. The cost grows with the number of instances that use a pool,
/// not with the size of the fleet.
class load_exchange {
public:
    using send_function = std::function<void(fleet_datagram const&, endpoint const&)>;

    /// Between two rounds of load updates: a few round trips between zones, and much shorter than the time
    /// between changes of a target's speed.
    static constexpr auto send_interval = std::chrono::milliseconds(15);

    load_exchange(forwarding_state& state, home_directory const& homes, send_function send)
        : m_state(state), m_homes(homes), m_send(std::move(send)) {}

    /// Between two rounds to the homes of other zones about a target that they search last
    /// (`target_selector::uses_search`): they need to know how full a zone is, not each change of a target.
    static constexpr auto far_send_interval = std::chrono::milliseconds(120);

    [[nodiscard]] bool has_pending_updates() const noexcept {
        return !m_state.pending_load_changes.empty() || !m_far_changes.empty();
    }
    void send_updates(std::span<member_view const> members, instance_id self);
    void receive(std::span<target_load_update const> updates, endpoint const& sender);

private:
    using time_point = std::chrono::steady_clock::time_point;

    /// How much an instance uses a pool: the number of its rounds of load updates, decayed with a half-life.
    struct decaying_usage {
        double decayed_rounds = 0;
        time_point updated_at;

        [[nodiscard]] double value_at(time_point now) const;
        void record_round(time_point now);
    };

    static constexpr auto usage_half_life = std::chrono::seconds(1);
    /// About two rounds a second; an instance with fewer requests does not affect the choice of others.
    static constexpr double min_usage_rounds = 2.5;
    /// 900 bytes of a datagram, which has room for 1,400.
    static constexpr std::size_t max_updates_per_datagram = 60;
    /// The leaving targets beyond it are not told; each further response of such a target adds it again.
    static constexpr std::size_t max_leaving_bytes_per_datagram = 400;

    using datagrams_by_peer = std::map<endpoint, std::vector<fleet_datagram>>;

    /// Which instances are told of a change: all of a target's pool, or only those in its zone or outside it.
    enum class receiver_group : std::uint8_t { all, near_target, far_from_target };

    /// Adds the update of a target to the datagrams of those who are told.
    void add_update(datagrams_by_peer& datagrams, std::string const& id, load_change const& change,
                    receiver_group group, std::span<member_view const> members, instance_id self,
                    time_point now) const;
    /// Keeps a change for the next round to instances that are far from the target.
    void keep_for_far_round(std::string const& id, load_change const& change);
    static void add_leaving_target(fleet_datagram& message, leaving_target_update target);

    forwarding_state& m_state;
    home_directory const& m_homes;
    send_function m_send;
    std::map<std::string, std::map<endpoint, decaying_usage>> m_peer_usage; ///< By pool and instance.
    std::map<std::string, load_change> m_far_changes;                       ///< By target.
    time_point m_far_sent_at{};
};

} // namespace pomelospread
