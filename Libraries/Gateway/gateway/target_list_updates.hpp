// How a change of the target list is told: as the entries that differ, in parts that fit a datagram.
#pragma once

#include "gateway/fleet_messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pomelospread {

/// The notes that lead from one list to the next, in order. Each but the last has the version of the list
/// before, so that an instance that misses one finds by the version that it is behind. One note without
/// entries when there are too many: the list is fetched then. Pure.
[[nodiscard]] std::vector<target_list_update> make_target_list_updates(target_list_snapshot const& before,
                                                                       target_list_snapshot const& after,
                                                                       std::uint32_t age_ms);

/// The list with the note's entries, or nothing when the note does not apply to it. `digest` is the current
/// list's. Pure.
[[nodiscard]] std::optional<target_list_snapshot>
apply_target_list_update(target_list_snapshot const& current, std::uint64_t digest,
                         target_list_update const& note);

} // namespace pomelospread
