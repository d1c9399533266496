// Which instances the callers of each pool are sent to, as this instance sees the fleet.
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

/// Belongs to the instance's thread.
class home_directory {
public:
    explicit home_directory(home_limits limits) : m_limits(limits) {}

    /// Works out the homes of every pool from what is known of the fleet and the routes now.
    void refresh(route_index const& routes, std::span<member_view const> members);

    /// The addresses for callers of `host` in `zone`, at most `count`; does not wait for a `refresh`.
    [[nodiscard]] std::vector<endpoint> addresses_for(route_index const& routes,
                                                      std::span<member_view const> members,
                                                      std::string_view host, std::string_view zone,
                                                      std::size_t count) const;
    /// How many instances, over all zones, the callers of one host are sent to at the most.
    [[nodiscard]] std::size_t max_homes_per_host() const noexcept { return m_max_homes_per_host; }
    /// The instances that serve a pool's requests, by their addresses for instances.
    [[nodiscard]] std::set<endpoint> const& peer_addresses_for_pool(std::string const& pool) const;

private:
    home_limits m_limits;
    std::size_t m_max_homes_per_host = 0;
    std::map<std::string, std::set<endpoint>, std::less<>> m_peer_addresses; ///< By pool.
};

} // namespace pomelospread
