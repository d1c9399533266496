// Finds the route of a request by host and path.
#pragma once

#include "state/routing_tables.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelospread {

/// The host of a `Host` field: lower case, without a port.
[[nodiscard]] std::string normalized_host(std::string_view field);

/// Tables with their routes sorted for look-up by host. Immutable, so thread-safe.
class route_index {
public:
    explicit route_index(routing_tables content);

    [[nodiscard]] routing_tables const& tables() const noexcept { return m_tables; }
    /// The route of the host with the longest prefix that begins the path, or nullptr.
    [[nodiscard]] route_row const* find(std::string_view host, std::string_view path) const;

    /// What decides where callers of a host are sent: the pool of its most urgent route, so that the requests
    /// of a pool meet at the same instances; the host itself when no route names it.
    [[nodiscard]] std::string home_key(std::string_view host) const;
    /// The home keys of all hosts with a route to the pool.
    [[nodiscard]] std::set<std::string> const& home_keys_for_pool(std::string const& pool) const;

private:
    routing_tables m_tables;
    std::unordered_map<std::string, std::vector<route_row const*>>
        m_routes_by_host;                                                       ///< Longest prefix first.
    std::unordered_map<std::string, std::set<std::string>> m_home_keys_by_pool; ///< By pool.
};

} // namespace pomelospread
