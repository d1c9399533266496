// Selects the home instances of a pool: the instances that receive the callers of the pool. Each zone has
// only a few of them, so that each home instance sees a large part of the pool's requests and thus of the
// load of its targets. Used by the forwarding instances of the gateway library; the instances of the entry
// library use `ranked_home_instances` of placement.hpp, with `home_count` instances for a pool.
#pragma once

#include "base/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// An instance that can be selected as a home instance.
struct home_candidate {
    endpoint address;
    endpoint peer_address;
    std::string zone;
    std::uint32_t processor_permille = 1000;
};

/// How many home instances a zone has: the first ones in rank that together reach both minima.
struct home_limits {
    std::size_t min_instances = 2;
    std::uint32_t min_processor_permille = 400; ///< Sum over the home instances, in thousandths of a core.
};

/// The home instances of `key` in the caller's `zone`: the largest instances first, so that few are enough,
/// and among equal ones by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
/// hit rates", 1998), so that few callers move when an instance is added or removed. Every instance with the
/// same candidates selects the same ones. For a zone without instances, the candidates of all zones are used.
[[nodiscard]] std::vector<home_candidate> select_home_instances(std::string_view key, std::string_view zone,
                                                                std::span<home_candidate const> candidates,
                                                                home_limits limits);

} // namespace pomelospread
