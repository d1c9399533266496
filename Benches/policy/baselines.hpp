// Common strategies that the system's is compared with, and an omniscient one as a bound that no real
// strategy reaches.
#pragma once

#include "simulation.hpp"

#include <cstdint>
#include <memory>

/// A random target.
[[nodiscard]] std::unique_ptr<strategy> make_random(simulation const& sim, std::uint64_t seed);
/// Round robin over the targets, separately at each instance.
[[nodiscard]] std::unique_ptr<strategy> make_round_robin(simulation const& sim, std::uint64_t seed);
/// The target with the fewest requests in flight from the same instance.
[[nodiscard]] std::unique_ptr<strategy> make_least_own_in_flight(simulation const& sim, std::uint64_t seed);
/// The less loaded of two random targets (Mitzenmacher, "The power of two choices in randomized load
/// balancing", 2001), by the loads that responses reported to the instance.
[[nodiscard]] std::unique_ptr<strategy> make_two_choices(simulation const& sim, std::uint64_t seed);
/// One queue for the fleet that sees the current state of every slot. It is a bound, since no instance has
/// this information.
[[nodiscard]] std::unique_ptr<strategy> make_omniscient_queue(simulation const& sim, std::uint64_t seed);
