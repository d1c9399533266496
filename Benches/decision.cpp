// What one decision and one log line cost on the request path.
#include "base/log.hpp"
#include "coordination/target_pool.hpp"

#include <benchmark/benchmark.h>

#include <random>

using namespace pomelospread;

namespace {

pool_row row_of(std::int64_t targets) {
    pool_row row{.name = "pool", .slots_per_target = 6};
    for (std::int64_t i = 0; i < targets; ++i) {
        row.targets.push_back({.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}, .zone = "z"});
    }
    return row;
}

/// Chooses and gives back at three quarters of the pool's places.
void choose(benchmark::State& state) {
    target_pool pool(row_of(state.range(0)), "z", {}, nanoseconds::zero());
    std::mt19937_64 random(1);
    std::vector<target_permit> held;
    nanoseconds now{1};
    for (std::int64_t i = 0; i < state.range(0) * 4; ++i) {
        held.push_back(*pool.try_acquire(now, random));
    }
    std::size_t oldest = 0;
    for (auto _ : state) {
        now += nanoseconds(1000);
        pool.release(held[oldest], now, exchange_result::answered);
        held[oldest] = *pool.try_acquire(now, random);
        oldest = (oldest + 1) % held.size();
    }
}

void choose_random(benchmark::State& state) {
    std::mt19937_64 random(1);
    std::uniform_int_distribution<std::int64_t> any(0, state.range(0) - 1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(any(random));
    }
}

void write_log_line(benchmark::State& state) {
    for (auto _ : state) {
        log_line(log_level::info, "target_chosen")
            .field("request", "0123456789abcdef-1")
            .field("pool", "badge-register")
            .field("target", "127.0.0.1:7101")
            .field("reason", "least_in_flight")
            .write();
    }
}

} // namespace

BENCHMARK(choose)->Arg(20)->Arg(660);
BENCHMARK(choose_random)->Arg(20)->Arg(660);
BENCHMARK(write_log_line)->Name("log_line");

BENCHMARK_MAIN();
