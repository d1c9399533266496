// Which instances a caller is sent to for a pool, and which pair decides on its non-idempotent requests.
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

/// The answer to a caller that asks which addresses to use.
struct address_answer {
    std::vector<instance_entry> addresses; ///< In the order in which to try them.
    std::chrono::milliseconds ttl{};       ///< How long the answer may be used.
    key_prefix prefix;                     ///< For the keys of non-idempotent requests.
    std::string_view reason;               ///< Why this order, for the placement's log line.
};

struct placement_limits {
    std::size_t max_addresses = 4;
    std::chrono::milliseconds max_ttl{10000};
    double ttl_jitter_share =
        0.3; ///< The time is drawn from `max_ttl * (1 - ttl_jitter_share)` to `max_ttl`.
};

/// Home instances of a pool: highest rendezvous weight first (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998), at most one per availability zone until every zone has one.
/// Only members that are alive are homes; when none is, suspect ones are better than none.
[[nodiscard]] std::vector<instance_entry> ranked_home_instances(std::string_view pool, std::size_t count,
                                                                std::span<member_view const> members);

/// The members that may hold a pool's claims and records beside `self`, best first: other homes in another
/// zone, then any live member in another zone, then any live member.
[[nodiscard]] std::vector<instance_entry> replica_candidates(instance_entry const& self, pool_row const& pool,
                                                             std::span<member_view const> members);

/// Answers a caller in `caller_zone` (empty when it did not say).
/// Returns nothing when no member can be handed out.
[[nodiscard]] std::optional<address_answer>
select_caller_addresses(pool_row const& pool, std::string_view caller_zone,
                        std::span<member_view const> members, key_epoch epoch, placement_limits const& limits,
                        random_source& random);

} // namespace pomelospread
