// Measures the time that one choice of a target and one log line take on the request path.
#include "base/log.hpp"
#include "coordination/target_pool.hpp"

#include <benchmark/benchmark.h>

#include <random>

using namespace pomelospread;

namespace {

pool_row make_row(std::int64_t targets) {
    pool_row row{.name = "pool", .slots_per_target = 6};
    for (std::int64_t i = 0; i < targets; ++i) {
        row.targets.push_back({.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}, .zone = "z"});
    }
    return row;
}

/// Releases and acquires a permit while four of the six slots of each target are in use on average.
void choose(benchmark::State& state) {
    target_pool pool(make_row(state.range(0)), "z", {}, nanoseconds::zero());
    std::mt19937_64 random(1);
    std::vector<target_permit> permits;
    nanoseconds now{1};
    for (std::int64_t i = 0; i < state.range(0) * 4; ++i) {
        permits.push_back(*pool.try_acquire(now, random));
    }
    std::size_t oldest = 0;
    for (auto _ : state) {
        now += nanoseconds(1000);
        pool.release(permits[oldest], now, exchange_result::succeeded);
        permits[oldest] = *pool.try_acquire(now, random);
        oldest = (oldest + 1) % permits.size();
    }
}

void choose_random(benchmark::State& state) {
    std::mt19937_64 random(1);
    std::uniform_int_distribution<std::int64_t> target(0, state.range(0) - 1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(target(random));
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
