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

/// The host of a `Host` header field in lower case and without the port.
[[nodiscard]] std::string normalized_host(std::string_view field);

/// Routing tables with an index of their routes by host. Immutable, so thread-safe.
class route_index {
public:
    explicit route_index(routing_tables value);

    [[nodiscard]] routing_tables const& tables() const noexcept { return m_tables; }
    /// The host's route with the longest `path_prefix` that the path starts with, or nullptr. The prefix may
    /// end within a path segment, and methods are not compared. Used by forwarding instances; the instances
    /// of the entry library use `routing_tables::find_route`.
    [[nodiscard]] route_row const* find(std::string_view host, std::string_view path) const;

    /// The key from which the home instances of a host's callers are chosen: the pool of its most urgent
    /// route (the first one of weighted pools), so that the requests of a pool arrive at the same instances.
    /// The host itself when it has no route.
    [[nodiscard]] std::string home_key(std::string_view host) const;
    /// The home keys of all hosts with a route to the pool.
    [[nodiscard]] std::set<std::string> const& home_keys_for_pool(std::string const& pool) const;

private:
    routing_tables m_tables;
    std::unordered_map<std::string, std::vector<route_row const*>>
        m_routes_by_host; ///< Longest prefix first.
    std::unordered_map<std::string, std::set<std::string>> m_home_keys_by_pool;
};

} // namespace pomelospread
