// The usual policies that the system's is measured against, and a limit that no real policy reaches.
#pragma once

#include "simulation.hpp"

#include <cstdint>
#include <memory>

/// Any target.
[[nodiscard]] std::unique_ptr<strategy> make_random(simulation const& world, std::uint64_t seed);
/// Targets in turn, each instance for itself.
[[nodiscard]] std::unique_ptr<strategy> make_round_robin(simulation const& world, std::uint64_t seed);
/// The target with the fewest requests of the same instance.
[[nodiscard]] std::unique_ptr<strategy> make_least_own_in_flight(simulation const& world, std::uint64_t seed);
/// The less loaded of two random targets (Mitzenmacher, "The power of two choices in randomized load
/// balancing", 2001), by the loads that answers reported to the instance.
[[nodiscard]] std::unique_ptr<strategy> make_two_choices(simulation const& world, std::uint64_t seed);
/// One queue that sees every slot at once: the limit, since no instance can know this much.
[[nodiscard]] std::unique_ptr<strategy> make_omniscient_queue(simulation const& world, std::uint64_t seed);
