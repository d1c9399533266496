#include "coordination/slot_claims.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace pomelospread {

namespace {

constexpr double first_home_probe_share = 0.6;
constexpr double own_zone_search_share = 0.8;

/// The address breaks ties, so that the order is the same everywhere.
std::pair<std::uint64_t, endpoint> rendezvous_key(std::string_view target_id, endpoint const& home) {
    auto const text = std::string(target_id) + '\n' + to_string(home);
    return {XXH3_64bits(text.data(), text.size()), home};
}

} // namespace

std::uint32_t slot_claim_rank(std::string_view target_id, endpoint const& self,
                              std::set<endpoint> const& homes) {
    if (!homes.contains(self)) {
        return static_cast<std::uint32_t>(homes.size());
    }
    auto const own_key = rendezvous_key(target_id, self);
    return static_cast<std::uint32_t>(std::ranges::count_if(
        homes, [&](endpoint const& home) { return rendezvous_key(target_id, home) > own_key; }));
}

std::chrono::milliseconds slot_claim_delay(std::uint32_t rank, slot_claim_policy policy) {
    return rank == 0 ? std::chrono::milliseconds(0) : policy.first_delay + policy.rank_delay * (rank - 1);
}

double probe_rate_share(std::uint32_t rank, std::size_t home_count) {
    if (home_count <= 1) {
        return 1.0;
    }
    return rank == 0 ? first_home_probe_share
                     : (1.0 - first_home_probe_share) / static_cast<double>(home_count - 1);
}

double search_rate_share(bool is_in_own_zone, std::size_t zone_homes, std::size_t home_count) {
    auto const other_homes = home_count - std::min(home_count, zone_homes);
    if (is_in_own_zone) {
        return (other_homes == 0 ? 1.0 : own_zone_search_share) /
               static_cast<double>(std::max<std::size_t>(1, zone_homes));
    }
    return (zone_homes == 0 ? 1.0 : 1.0 - own_zone_search_share) /
           static_cast<double>(std::max<std::size_t>(1, other_homes));
}

} // namespace pomelospread
