// The home instances of each pool (see coordination/home_selection.hpp), from this instance's view of the
// fleet.
#pragma once

#include "coordination/home_selection.hpp"
#include "coordination/membership.hpp"
#include "state/route_index.hpp"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// Used only on the instance's thread.
class home_directory {
public:
    explicit home_directory(home_limits limits) : m_limits(limits) {}

    /// Recomputes the homes of every pool from the given routes and members.
    void refresh(route_index const& routes, std::span<member_view const> members);

    /// Up to `count` addresses of the homes for callers of `host` in `zone`. Computed from the arguments, not
    /// from the last `refresh`.
    [[nodiscard]] std::vector<endpoint> addresses_for(route_index const& routes,
                                                      std::span<member_view const> members,
                                                      std::string_view host, std::string_view zone,
                                                      std::size_t count) const;
    /// The largest number of homes, over all zones, that the callers of any one host have.
    [[nodiscard]] std::size_t max_homes_per_host() const noexcept { return m_max_homes_per_host; }
    /// Whether the instance at this peer address is a home of any pool.
    [[nodiscard]] bool is_home(endpoint const& peer_address) const;
    /// The peer addresses of the homes of any pool.
    [[nodiscard]] std::set<endpoint> all_peer_addresses() const;
    /// The number of the pool's homes in each zone that has one.
    [[nodiscard]] std::map<std::string, std::size_t, std::less<>>
    homes_by_zone(std::string const& pool) const;
    /// The peer addresses of the pool's homes in all zones.
    [[nodiscard]] std::set<endpoint> const& peer_addresses_for_pool(std::string const& pool) const;

private:
    home_limits m_limits;
    std::size_t m_max_homes_per_host = 0;
    std::map<std::string, std::set<endpoint>, std::less<>> m_peer_addresses; ///< By pool.
    std::map<endpoint, std::string> m_zones;                                 ///< Of the homes.
};

} // namespace pomelospread
