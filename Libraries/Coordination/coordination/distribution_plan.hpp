// Decides along which paths a change of the target list or the routing tables reaches every instance of a
// fleet of hundreds of instances in several availability zones.
#pragma once

#include "coordination/membership.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

struct distribution_limits {
    /// Up to this number of instances, a change is sent to each of them directly and each reads the tables.
    std::size_t max_direct_fleet_size = 24;
    /// Instances of each zone that forward changes within it. With two, a change is not lost with one of
    /// them.
    std::size_t relays_per_zone = 2;
    /// The first instances in rank hold a long poll for newer tables at the platform, besides the relays.
    std::size_t table_watchers = 3;
};

/// The paths from the view of one instance. A change crosses to each other zone once for each of its relays,
/// which forward it within their zone. Relays are the first instances of their zone in the order of
/// `list_poll_schedule::poll_rank`, so every instance with the same members computes the same ones, without
/// agreement; instances that compute different ones only cause a change to arrive twice or later. Immutable.
class distribution_plan {
public:
    /// The plan of an instance that knows no other.
    distribution_plan() = default;
    distribution_plan(instance_entry const& self, std::span<member_view const> members,
                      distribution_limits limits = {});

    /// The receivers of a change that this instance read from the platform: the members of its zone and the
    /// relays of the other zones; every member in a small fleet.
    [[nodiscard]] std::vector<endpoint> receivers() const;
    /// The members of its own zone, without this instance.
    [[nodiscard]] std::span<endpoint const> zone_members() const noexcept { return m_zone_members; }
    /// Whether this instance tells its zone of each change; no instance does in a small fleet.
    [[nodiscard]] bool is_relay() const noexcept { return m_is_relay && !m_is_direct; }
    /// Whether this instance forwards changes that it receives from `sender` within its zone.
    [[nodiscard]] bool forwards_from(endpoint const& sender) const;
    /// Whether this instance asks the platform for newer tables instead of being told by others.
    [[nodiscard]] bool watches_tables() const noexcept { return m_watches_tables; }
    [[nodiscard]] bool is_in_own_zone(endpoint const& peer) const;
    /// The peer from which to fetch what `sender` announced: the sender if it is in this zone or this
    /// instance is a relay, else nothing yet, since a relay of this zone will announce it.
    [[nodiscard]] std::optional<endpoint> fetch_source(endpoint const& sender) const;
    /// Whether the members of this zone submit their account objects to this instance, its first relay.
    [[nodiscard]] bool collects_objects() const noexcept { return is_relay() && m_is_first_relay; }
    /// The first relay of this zone, if it is another instance; none in a small fleet.
    [[nodiscard]] std::optional<endpoint> object_collector() const;
    /// Whom to ask after `fetch_source` had nothing and no relay announced the change: the first other relay
    /// of this zone.
    [[nodiscard]] std::optional<endpoint> zone_relay() const;

private:
    bool m_is_direct = true; ///< The fleet is small enough to need no relays.
    bool m_is_relay = false;
    bool m_is_first_relay = false;
    bool m_watches_tables = true;
    std::vector<endpoint> m_zone_members;  ///< Sorted; without this instance.
    std::vector<endpoint> m_remote_relays; ///< In a small fleet, every member of the other zones.
    std::vector<endpoint> m_zone_relays;   ///< Without this instance.
};

} // namespace pomelospread
