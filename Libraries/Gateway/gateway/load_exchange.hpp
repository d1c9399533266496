// Instances that send requests to the same pool tell each other what they have at its targets and what the
// targets said, so that they choose like one.
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

/// Belongs to the instance's thread. News of a pool goes to the instances that its callers are sent to, and
/// to those that show by their own news that they use it. The cost grows with the instances that use a pool,
/// not with the fleet.
class load_exchange {
public:
    using send_function = std::function<void(fleet_datagram const&, endpoint const&)>;

    /// Between two rounds of news: a few round trips between zones, and a small part of the time for which a
    /// target's speed holds.
    static constexpr auto send_interval = std::chrono::milliseconds(15);

    load_exchange(forwarding_state& state, home_directory const& homes, send_function send)
        : m_state(state), m_homes(homes), m_send(std::move(send)) {}

    [[nodiscard]] bool has_pending_updates() const noexcept { return !m_state.pending_load_changes.empty(); }
    void send_updates(std::span<member_view const> members, instance_id self);
    void receive(std::span<target_load_update const> news, endpoint const& from);

private:
    using time_point = std::chrono::steady_clock::time_point;

    /// How much an instance uses a pool: its rounds of news, each worth half as much after a half-life.
    struct decaying_usage {
        double decayed_rounds = 0;
        time_point updated_at;

        [[nodiscard]] double value_at(time_point now) const;
        void record_round(time_point now);
    };

    static constexpr auto usage_half_life = std::chrono::seconds(1);
    /// About two rounds a second: a request now and then changes nobody's choice.
    static constexpr double min_usage_rounds = 2.5;
    static constexpr std::size_t max_updates_per_datagram = 60;

    forwarding_state& m_state;
    home_directory const& m_homes;
    send_function m_send;
    std::map<std::string, time_point> m_told_all;                           ///< By pool.
    std::map<std::string, decaying_usage> m_own_usage;                      ///< By pool.
    std::map<std::string, std::map<endpoint, decaying_usage>> m_peer_usage; ///< By pool and instance.
};

} // namespace pomelospread
