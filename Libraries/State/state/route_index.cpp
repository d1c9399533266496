#include "state/route_index.hpp"

#include <algorithm>
#include <utility>

namespace pomelospread {

std::string normalized_host(std::string_view field) {
    std::string host(field.substr(0, field.rfind(':')));
    std::ranges::transform(host, host.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return host;
}

route_index::route_index(routing_tables value) : m_tables(std::move(value)) {
    if (m_tables.workspaces) {
        m_workspaces = workspace_index(*m_tables.workspaces);
    }
    for (auto const& route : m_tables.routes) {
        m_routes_by_host[route.host].push_back(&route);
    }
    for (auto& [host, routes] : m_routes_by_host) {
        std::ranges::stable_sort(routes, std::greater{},
                                 [](route_row const* route) { return route->path_prefix.size(); });
        auto const key = home_key(host);
        for (auto const* route : routes) {
            if (route->weighted_pools.empty()) {
                m_home_keys_by_pool[route->pool].insert(key);
            }
            for (auto const& weighted : route->weighted_pools) {
                m_home_keys_by_pool[weighted.pool].insert(key);
            }
        }
    }
}

std::set<std::string> const& route_index::home_keys_for_pool(std::string const& pool) const {
    static std::set<std::string> const none;
    auto const found = m_home_keys_by_pool.find(pool);
    return found == m_home_keys_by_pool.end() ? none : found->second;
}

route_row const* route_index::find(std::string_view host, std::string_view path) const {
    auto const routes = m_routes_by_host.find(normalized_host(host));
    if (routes == m_routes_by_host.end()) {
        return nullptr;
    }
    auto const found = std::ranges::find_if(
        routes->second, [&](route_row const* route) { return path.starts_with(route->path_prefix); });
    return found == routes->second.end() ? nullptr : *found;
}

std::string route_index::home_key(std::string_view host) const {
    auto const routes = m_routes_by_host.find(normalized_host(host));
    if (routes == m_routes_by_host.end()) {
        return std::string(host);
    }
    auto const* const most_urgent = *std::ranges::min_element(routes->second, {}, [](route_row const* route) {
        return std::pair(route->priority, std::string_view(route->name));
    });
    return most_urgent->weighted_pools.empty() ? most_urgent->pool : most_urgent->weighted_pools.front().pool;
}

} // namespace pomelospread
