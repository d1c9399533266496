#include "gateway/home_directory.hpp"

#include <algorithm>
#include <iterator>

namespace pomelospread {

namespace {

std::vector<home_candidate> alive_candidates(std::span<member_view const> members) {
    std::vector<home_candidate> candidates;
    for (auto const& member : members) {
        if (member.status == member_status::alive) {
            candidates.push_back({.address = member.entry.caller_address,
                                  .peer_address = member.entry.peer_address,
                                  .zone = member.entry.zone,
                                  .processor_permille = member.entry.processor_permille});
        }
    }
    return candidates;
}

} // namespace

void home_directory::refresh(route_index const& routes, std::span<member_view const> members) {
    auto const candidates = alive_candidates(members);
    std::set<std::string> zones;
    std::ranges::transform(candidates, std::inserter(zones, zones.end()), &home_candidate::zone);
    m_max_homes_per_host = 0;
    std::map<std::string, std::set<endpoint>> homes_by_key;
    m_peer_addresses.clear();
    m_zones.clear();
    for (auto const& pool : routes.tables().pools) {
        auto& peers = m_peer_addresses[pool.name];
        for (auto const& key : routes.home_keys_for_pool(pool.name)) {
            auto& homes = homes_by_key[key];
            if (homes.empty()) {
                for (auto const& zone : zones) {
                    for (auto const& home : select_home_instances(key, zone, candidates, m_limits)) {
                        homes.insert(home.peer_address);
                        m_zones[home.peer_address] = home.zone;
                    }
                }
            }
            m_max_homes_per_host = std::max(m_max_homes_per_host, homes.size());
            peers.insert(homes.begin(), homes.end());
        }
    }
}

std::vector<endpoint> home_directory::addresses_for(route_index const& routes,
                                                    std::span<member_view const> members,
                                                    std::string_view host, std::string_view zone,
                                                    std::size_t count) const {
    std::vector<endpoint> addresses;
    for (auto const& home :
         select_home_instances(routes.home_key(host), zone, alive_candidates(members), m_limits)) {
        if (addresses.size() < count) {
            addresses.push_back(home.address);
        }
    }
    return addresses;
}

bool home_directory::is_home(endpoint const& peer_address) const {
    return std::ranges::any_of(m_peer_addresses,
                               [&](auto const& entry) { return entry.second.contains(peer_address); });
}

std::map<std::string, std::size_t, std::less<>> home_directory::homes_by_zone(std::string const& pool) const {
    std::map<std::string, std::size_t, std::less<>> counts;
    for (auto const& home : peer_addresses_for_pool(pool)) {
        ++counts[m_zones.find(home)->second];
    }
    return counts;
}

std::set<endpoint> home_directory::all_peer_addresses() const {
    std::set<endpoint> result;
    for (auto const& [pool, addresses] : m_peer_addresses) {
        result.insert(addresses.begin(), addresses.end());
    }
    return result;
}

std::set<endpoint> const& home_directory::peer_addresses_for_pool(std::string const& pool) const {
    static std::set<endpoint> const no_addresses;
    auto const found = m_peer_addresses.find(pool);
    return found == m_peer_addresses.end() ? no_addresses : found->second;
}

} // namespace pomelospread
