// A change of the target list as updates with the entries that differ, each small enough for one datagram.
#pragma once

#include "gateway/fleet_messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pomelospread {

/// The updates that lead from `before` to `after`, in order. Only the last has the version of `after`: an
/// instance that misses an update keeps the old version and so detects that it is behind. When there would be
/// too many, returns a single update without entries; receivers then fetch the complete list. Has no side
/// effects.
[[nodiscard]] std::vector<target_list_update> make_target_list_updates(target_list_snapshot const& before,
                                                                       target_list_snapshot const& after,
                                                                       std::uint32_t age_ms);

/// Returns `current` with the update applied, or nothing when the update is based on another list. `digest`
/// is that of `current`. Has no side effects.
[[nodiscard]] std::optional<target_list_snapshot>
apply_target_list_update(target_list_snapshot const& current, std::uint64_t digest,
                         target_list_update const& update);

} // namespace pomelospread
