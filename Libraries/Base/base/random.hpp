// The random number generator, one per thread.
#pragma once

#include <cstdint>
#include <random>

namespace pomelospread {

/// The generator that is passed to code that decides at random. Tests and benches seed it themselves, so that
/// the decisions can be repeated.
using random_source = std::mt19937_64;

/// The calling thread's generator, seeded once from the operating system's entropy.
[[nodiscard]] random_source& thread_random();

} // namespace pomelospread
