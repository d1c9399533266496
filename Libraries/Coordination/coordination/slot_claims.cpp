#include "coordination/slot_claims.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace pomelospread {

namespace {

constexpr double first_home_probe_share = 0.6;

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

} // namespace pomelospread
