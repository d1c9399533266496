// Random numbers: one generator per thread, and identifiers.
#pragma once

#include <cstdint>
#include <random>

namespace pomelospread {

/// The generator that decisions are given; seeded by the caller, so that a decision can be repeated.
using random_source = std::mt19937_64;

/// The calling thread's generator, seeded once from the system's entropy.
[[nodiscard]] random_source& thread_random();

} // namespace pomelospread
