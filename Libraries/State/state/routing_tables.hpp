// The two tables that operators edit: routes and pools. A route refers to its pools by name.
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"
#include "state/key_digest.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// A pool that receives a share of a route's requests.
struct weighted_pool {
    std::string pool;
    std::int64_t weight = 1; ///< The share is this weight divided by the sum of the route's weights.

    bool operator==(weighted_pool const&) const = default;
};

/// One row of the routes table: which requests go to which pool, and how.
struct route_row {
    std::string name;
    std::string host;        ///< Lower case, without a port; empty in tables whose routes have no hosts.
    std::string path_prefix; ///< Begins with '/'; the longest matching prefix wins.
    std::vector<std::string> methods; ///< Upper-case HTTP methods.
    std::string pool;
    bool idempotent = false; ///< As in RFC 9110 section 9.2.2; decides about retries, hedges and claims.
    std::chrono::milliseconds deadline{2000};
    bool hedge = true;                         ///< Only used when `idempotent`.
    std::int64_t customer_concurrency = 64;    ///< Most requests of one customer in progress at one instance.
    std::vector<weighted_pool> weighted_pools; ///< Used instead of `pool` when not empty.
    std::chrono::milliseconds latency_objective{500}; ///< Target latency: a response within it is on time.
    std::int64_t priority = 0;                        ///< 0 is the most urgent.
    std::int64_t max_attempts = 2; ///< Most attempts of one request, the first one included.
    bool is_public = false;        ///< Needs no key, also where the tables declare workspaces.

    bool operator==(route_row const&) const = default;
};

struct pool_row;

/// How many home instances a pool has at the instances of the entry library: `pool.homes` when it is set,
/// otherwise one for a pool with up to `max_slots_for_single_home` slots and two for a larger one. A single
/// home sees all of the pool's requests in flight; a larger pool needs more than one instance to carry its
/// requests.
[[nodiscard]] std::int64_t home_count(pool_row const& pool) noexcept;

/// One target of a pool.
struct target_row {
    endpoint address;
    std::string zone;
    bool leaving = false; ///< A leaving target receives no new request.

    auto operator<=>(target_row const&) const = default;
};

/// One row of the pools table: a service's targets and the limits agreed for them.
struct pool_row {
    std::string name;
    std::int64_t slots_per_target = 1;
    /// Idle connections to each target, of all instances together; divided evenly among their threads.
    std::int64_t connections_per_target = 100;
    /// Number of home instances, which receive the pool's callers; 0 derives it from the pool's size.
    std::int64_t homes = 0;
    std::string health_path;
    /// Requests per second that a cold target tolerates, over the fleet; 0: as many as a warm one.
    double warm_up_requests_per_second = 0;
    std::chrono::milliseconds warm_up_time{0}; ///< How long a target is cold after it started.
    std::vector<target_row> targets;

    bool operator==(pool_row const&) const = default;
};

/// One row of the workspaces table: a customer's workspace, the keys of its callers and its share of the
/// service.
struct workspace_row {
    std::string name;
    std::vector<key_digest> key_digests;  ///< Of the keys, which themselves are not kept.
    std::optional<std::int64_t> priority; ///< Takes precedence over the route's; 0 is the most urgent.
    double requests_per_second = 0;       ///< Over the fleet; 0: unlimited.
    double burst = 0;                     ///< Requests that may arrive at once, beyond the rate.

    bool operator==(workspace_row const&) const = default;
};

/// Limits on the size of a caller's request, the time to send it, and the time a connection may stay idle.
struct caller_limits {
    std::int64_t max_header_bytes = 16384;
    std::int64_t max_body_bytes = std::int64_t{64} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};

    bool operator==(caller_limits const&) const = default;
};

/// All tables under one version number. An accepted version is never changed.
struct routing_tables {
    std::uint64_t version = 0;
    caller_limits limits;
    std::vector<route_row> routes;
    std::vector<pool_row> pools;
    /// Empty where requests need no key; otherwise those of every route need one that is not public.
    std::optional<std::vector<workspace_row>> workspaces;

    /// The route with the longest prefix of `path`, among those that list `method`; nullptr when there is
    /// none. A prefix matches only up to the end of a path segment. Hosts are not compared.
    /// Used by the instances of the entry library; forwarding instances use `route_index::find`.
    [[nodiscard]] route_row const* find_route(std::string_view method, std::string_view path) const noexcept;
    [[nodiscard]] pool_row const* find_pool(std::string_view name) const noexcept;
};

/// The upper limits of the fields, which `check_tables` applies.
struct routing_table_limits {
    static constexpr std::int64_t max_slots_per_target = 4096;
    static constexpr std::int64_t max_connections_per_target = 65536;
    static constexpr std::int64_t max_homes = 64;
    static constexpr std::int64_t max_slots_for_single_home = 16;
    static constexpr std::int64_t max_deadline_ms = 600000;
    static constexpr std::int64_t max_customer_concurrency = 100000;
    static constexpr std::size_t max_name_characters = 64;
    static constexpr double max_workspace_rate = 1e9; ///< Requests per second, and of a burst.
    static constexpr std::int64_t max_priority = 1000000;
    static constexpr std::size_t max_workspace_name_bytes = 200; ///< It is sent in a header field.
};

/// Checks every row, and the references from routes to pools. Returns every problem found.
[[nodiscard]] std::vector<field_problem> check_tables(routing_tables const& tables);

/// Throws `invalid_input` with every problem when `check_tables` finds any.
void throw_if_invalid(routing_tables const& tables);

} // namespace pomelospread
