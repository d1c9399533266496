#include "coordination/home_selection.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace pomelospread {

namespace {

std::uint64_t rendezvous_weight(std::string_view key, endpoint const& address) {
    auto const text = std::string(key) + "\n" + to_string(address);
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

std::vector<home_candidate> select_home_instances(std::string_view key, std::string_view zone,
                                                  std::span<home_candidate const> candidates,
                                                  home_limits limits) {
    struct ranked_candidate {
        std::uint32_t processor_permille;
        std::uint64_t weight;
        home_candidate const* candidate;
    };
    std::vector<ranked_candidate> order;
    bool const zone_has_instances =
        std::ranges::find(candidates, zone, &home_candidate::zone) != candidates.end();
    for (auto const& candidate : candidates) {
        if (!zone_has_instances || candidate.zone == zone) {
            order.push_back(
                {candidate.processor_permille, rendezvous_weight(key, candidate.address), &candidate});
        }
    }
    std::ranges::sort(order, std::greater{}, [](ranked_candidate const& each) {
        return std::pair(each.processor_permille, each.weight);
    });
    std::vector<home_candidate> homes;
    std::uint64_t processor_permille = 0;
    for (auto const& each : order) {
        if (homes.size() >= limits.min_instances && processor_permille >= limits.min_processor_permille) {
            break;
        }
        homes.push_back(*each.candidate);
        processor_permille += each.processor_permille;
    }
    return homes;
}

} // namespace pomelospread
