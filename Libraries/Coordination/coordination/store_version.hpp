// A position in the history of the platform's store.
#pragma once

#include <compare>
#include <cstdint>

namespace pomelospread {

/// The era of a store that has not come back from an older copy.
constexpr std::uint64_t first_store_era = 1;

/// The store's version numbers identify its content only within one era: a store that comes back from an
/// older copy begins a new era, in which it assigns numbers again. Positions are ordered by era, then by
/// number.
struct store_version {
    std::uint64_t era = 0; ///< 0: the platform states none.
    std::uint64_t number = 0;

    auto operator<=>(store_version const&) const = default;
};

} // namespace pomelospread
