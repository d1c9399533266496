// Selects the instances to which a caller sends the requests of a pool, and the pair of instances that
// decides on its non-idempotent requests. Used by the instances of the entry library; the forwarding
// instances of the gateway library select home instances by home_selection.hpp.
#pragma once

#include "base/random.hpp"
#include "coordination/idempotency_key.hpp"
#include "coordination/membership.hpp"
#include "state/routing_tables.hpp"

#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The response to a caller that requests the addresses of a pool.
struct address_response {
    std::vector<instance_entry> addresses; ///< In the order in which the caller should try them.
    std::chrono::milliseconds ttl{};       ///< How long the caller may use this response.
    key_prefix prefix;                     ///< Prefix for the keys of non-idempotent requests.
    std::string_view reason;               ///< Why the addresses are in this order, for the log line.
};

struct placement_limits {
    std::size_t max_addresses = 4;
    std::chrono::milliseconds max_ttl{10000};
    /// The ttl is chosen at random between `max_ttl * (1 - ttl_jitter_share)` and `max_ttl`.
    double ttl_jitter_share = 0.3;
};

/// The home instances of a pool: highest rendezvous weight first (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998), at most one per availability zone until every zone has one.
/// Only members that are alive are homes. When there are none, suspect members are used, then leaving ones.
[[nodiscard]] std::vector<instance_entry> ranked_home_instances(std::string_view pool, std::size_t count,
                                                                std::span<member_view const> members);

/// The members besides `self` that may hold a pool's claims and account records, best first: all live members
/// in other zones, then those in the zone of `self`, each in the order in which home instances are chosen.
[[nodiscard]] std::vector<instance_entry> replica_candidates(instance_entry const& self, pool_row const& pool,
                                                             std::span<member_view const> members);

/// Selects the addresses for a caller in `caller_zone`, which is empty when the caller did not state a zone.
/// Returns nothing when there is no member to select.
[[nodiscard]] std::optional<address_response>
select_caller_addresses(pool_row const& pool, std::string_view caller_zone,
                        std::span<member_view const> members, key_epoch epoch, placement_limits const& limits,
                        random_source& random);

} // namespace pomelospread
