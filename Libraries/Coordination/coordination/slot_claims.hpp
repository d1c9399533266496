// Decides which home of a pool may use the last free slot of a target first. Without it, all homes with
// waiting requests see the same slot become free and send to it at once.
#pragma once

#include "base/endpoint.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>

namespace pomelospread {

struct slot_claim_policy {
    /// How long after the last change of a target's load the second home in rank leaves a slot to the first:
    /// a round of load updates, the way to the farthest home of a region, and its choice.
    std::chrono::milliseconds first_delay{40};
    /// Each further home in rank waits this much longer, so that the one before it is heard.
    std::chrono::milliseconds rank_delay{15};
};

/// The rank of `self` among the homes of a pool for a target, 0 for the first one: the number of homes with a
/// greater rendezvous weight for it (Thaler and Ravishankar, "Using name-based mappings to increase hit
/// rates", 1998). Every home that knows the same homes computes the same order, so a free slot has one
/// dispatcher without agreement (compare Lu et al., "Join-Idle-Queue", Performance Evaluation 2011). An
/// instance that is no home comes after all homes; without homes the rank is 0.
[[nodiscard]] std::uint32_t slot_claim_rank(std::string_view target_id, endpoint const& self,
                                            std::set<endpoint> const& homes);

/// How long after the last change of a target's load an instance of this rank leaves one slot to the homes
/// before it.
[[nodiscard]] std::chrono::milliseconds slot_claim_delay(std::uint32_t rank, slot_claim_policy policy);

/// The share of a target's load probes that an instance of this rank may send. The first home dispatches to
/// the target when it is nearly full, so it gets the largest part; together the homes use the whole rate.
[[nodiscard]] double probe_rate_share(std::uint32_t rank, std::size_t home_count);

/// The same for a pool whose targets are searched (`target_search`): the homes of the target's zone probe it
/// for each of their requests, and those of other zones only when their own zone has no good target.
/// `zone_homes` of the `home_count` homes are in the target's zone. Together the homes use the whole rate.
[[nodiscard]] double search_rate_share(bool is_in_own_zone, std::size_t zone_homes, std::size_t home_count);

} // namespace pomelospread
