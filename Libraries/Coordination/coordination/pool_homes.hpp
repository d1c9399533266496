// Which instances callers are sent to: a pool's requests meet at a few homes in each zone, which then know
// nearly everything about its targets.
#pragma once

#include "base/endpoint.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// An instance that may be handed out.
struct home_candidate {
    endpoint address;
    std::string zone;
};

/// The homes of `key` in the caller's zone, by rendezvous hashing (Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", 1998), so that few callers move when an instance comes or goes. Every
/// instance with the same view gives the same answer. A zone without instances is served by the others'
/// homes.
[[nodiscard]] std::vector<endpoint> homes_of(std::string_view key, std::string_view zone,
                                             std::span<home_candidate const> candidates,
                                             std::size_t homes_per_zone);

} // namespace pomelospread
