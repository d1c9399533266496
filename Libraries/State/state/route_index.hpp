// Finds the route of a request by host and path, and its workspace by key.
#pragma once

#include "state/routing_tables.hpp"
#include "state/workspace_index.hpp"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelospread {

/// The host of a `Host` header field in lower case and without the port.
[[nodiscard]] std::string normalized_host(std::string_view field);

/// Routing tables with an index of their routes by host and of their keys. Immutable, so thread-safe.
class route_index {
public:
    explicit route_index(routing_tables value);
    route_index(route_index const&) = delete; // Refers to its own tables.
    route_index& operator=(route_index const&) = delete;

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
    /// Whether the tables declare workspaces, so that a request of this route needs a key.
    [[nodiscard]] bool needs_key(route_row const& route) const noexcept {
        return m_tables.workspaces.has_value() && !route.is_public;
    }
    [[nodiscard]] workspace_row const* find_workspace(std::string_view key) const {
        return m_workspaces.find(key);
    }

private:
    routing_tables m_tables;
    workspace_index m_workspaces;
    std::unordered_map<std::string, std::vector<route_row const*>>
        m_routes_by_host; ///< Longest prefix first.
    std::unordered_map<std::string, std::set<std::string>> m_home_keys_by_pool;
};

} // namespace pomelospread
