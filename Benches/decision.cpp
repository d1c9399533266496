// Measures the time that one choice of a target, one look-up of a key, one decision on a shared rate and one
// log line take on the request path.
#include "base/log.hpp"
#include "coordination/shared_rate.hpp"
#include "coordination/target_pool.hpp"
#include "state/workspace_index.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <map>
#include <random>
#include <string>
#include <vector>

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

/// Admits requests of 100 limits in turn, half of which find a token, and tells the others when to retry.
void take_token(benchmark::State& state) {
    auto const count = static_cast<shared_rate::limit_key>(state.range(0));
    shared_rate::time_point now{std::chrono::seconds(100)};
    std::map<shared_rate::limit_key, rate_limit> limits;
    for (shared_rate::limit_key key = 0; key < count; ++key) {
        limits[key * 0x9E3779B97F4A7C15] = {.per_second = 3000, .burst = 100};
    }
    shared_rate rate;
    rate.set_holders(6, true, now);
    rate.set_limits(limits, now);
    shared_rate::limit_key next = 0;
    std::int64_t admitted = 0;
    for (auto _ : state) {
        auto const key = next++ % count * 0x9E3779B97F4A7C15;
        now += std::chrono::nanoseconds(1'000'000 / static_cast<std::int64_t>(count));
        rate.record_arrival(key, now);
        if (rate.try_take(key, now)) {
            ++admitted;
        } else {
            benchmark::DoNotOptimize(rate.promise_retry(key, now));
        }
    }
    state.counters["admitted"] = static_cast<double>(admitted) / static_cast<double>(state.iterations());
}

std::size_t allocated_bytes() {
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Looks up known keys in turn; the rows that the index refers to count for its bytes as well.
void find_workspace(benchmark::State& state) {
    constexpr std::int64_t key_count = 100'000;
    std::vector<std::string> keys;
    for (std::int64_t i = 0; i < key_count; ++i) {
        keys.push_back("caller-key-0123456789abcdef-" + std::to_string(i));
    }
    auto const bytes_before = allocated_bytes();
    std::vector<workspace_row> rows(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < rows.size(); ++i) {
        rows[i].name = "workspace-" + std::to_string(i);
        rows[i].key_digests.reserve(keys.size() / rows.size());
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        rows[i % rows.size()].key_digests.push_back(digest_of_key(keys[i]));
    }
    workspace_index const index(rows);
    state.counters["bytes_per_key"] = static_cast<double>(allocated_bytes() - bytes_before) / key_count;
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(index.find(keys[next]));
        next = (next + 7919) % keys.size();
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
BENCHMARK(take_token)->Arg(100);
BENCHMARK(find_workspace)->Arg(100)->Arg(10'000);
BENCHMARK(write_log_line)->Name("log_line");

BENCHMARK_MAIN();
