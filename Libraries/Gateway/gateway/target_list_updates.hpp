// A change of the target list as updates with the entries that differ, each small enough for one datagram.
#pragma once

#include "gateway/fleet_messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pomelospread {

/// The updates that lead from `before` to `after`, in order. All but the last have the version of `before`,
/// so that an instance that misses one detects by the version that it is behind. When there would be too
/// many, returns a single update without entries, upon which receivers fetch the list. Pure.
[[nodiscard]] std::vector<target_list_update> make_target_list_updates(target_list_snapshot const& before,
                                                                       target_list_snapshot const& after,
                                                                       std::uint32_t age_ms);

/// Returns `current` with the update applied, or nothing when the update is based on another list. `digest`
/// is that of `current`. Pure.
[[nodiscard]] std::optional<target_list_snapshot>
apply_target_list_update(target_list_snapshot const& current, std::uint64_t digest,
                         target_list_update const& update);

} // namespace pomelospread
