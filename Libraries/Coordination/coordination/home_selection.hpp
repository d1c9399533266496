// Which instances callers are sent to: a pool's requests meet at a few homes in each zone, which then know
// nearly everything about its targets.
#pragma once

#include "base/endpoint.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// An instance that may be handed out.
struct home_candidate {
    endpoint address;
    endpoint peer_address;
    std::string zone;
    std::uint32_t processor_permille = 1000;
};

/// How many homes a zone has: the first ones in rank that reach both.
struct home_limits {
    std::size_t min_instances = 2;
    std::uint32_t min_processor_permille = 400; ///< Thousandths of a core, together.
};

/// The homes of `key` in the caller's zone: the largest instances first, so that few are enough, and among
/// equals by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
/// 1998), so that few callers move when an instance comes or goes. Every instance with the same view gives
/// the same answer. A zone without instances is served by the others' homes.
[[nodiscard]] std::vector<home_candidate> select_home_instances(std::string_view key, std::string_view zone,
                                                                std::span<home_candidate const> candidates,
                                                                home_limits limits);

} // namespace pomelospread
