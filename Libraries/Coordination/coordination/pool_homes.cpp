#include "coordination/pool_homes.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pomelospread {

namespace {

std::uint64_t weight_of(std::string_view key, endpoint const& address) {
    auto const text = std::string(key) + "\n" + to_string(address);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::vector<endpoint> homes_of(std::string_view key, std::string_view zone,
                               std::span<home_candidate const> candidates, std::size_t homes_per_zone) {
    std::vector<std::pair<std::uint64_t, endpoint>> ranked;
    bool const is_served = std::ranges::find(candidates, zone, &home_candidate::zone) != candidates.end();
    for (auto const& candidate : candidates) {
        if (!is_served || candidate.zone == zone) {
            ranked.emplace_back(weight_of(key, candidate.address), candidate.address);
        }
    }
    std::ranges::sort(ranked, std::greater{}, &std::pair<std::uint64_t, endpoint>::first);
    std::vector<endpoint> homes;
    for (auto const& [weight, address] : ranked) {
        if (homes.size() < homes_per_zone) {
            homes.push_back(address);
        }
    }
    return homes;
}

} // namespace pomelospread
