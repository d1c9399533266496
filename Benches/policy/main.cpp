// Simulates the choice of targets in virtual time and prints one JSON line of measurements for each
// combination of pool, scenario, load and strategy.
#include "base/flags.hpp"
#include "scenario.hpp"
#include "simulation.hpp"
#include "strategies.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_string(pools, "", "Names of pools, separated by commas; empty for all.");
DEFINE_string(scenarios, "", "Names of scenarios, separated by commas; empty for all.");
DEFINE_string(strategies, "", "Names of strategies, separated by commas; empty for all.");
DEFINE_string(loads, "0.75", "Loads, as shares of the pool's slots, separated by commas.");
DEFINE_double(seconds, 20, "Length of one run in seconds of virtual time.");
DEFINE_int64(seeds, 20, "Number of seeds; each combination runs once with each, counted from 1.");
DEFINE_int64(threads, 6, "Number of threads; each measures one combination at a time.");

namespace {

std::vector<std::string> split(std::string const& text) {
    std::vector<std::string> names;
    std::string rest = text;
    while (!rest.empty()) {
        auto const comma = rest.find(',');
        names.push_back(rest.substr(0, comma));
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return names;
}

bool is_selected(std::string const& list, std::string_view name) {
    auto const names = split(list);
    return names.empty() || std::ranges::find(names, name) != names.end();
}

struct combination {
    pool_shape pool;
    scenario conditions;
    double load;
    named_strategy policy;
};

std::vector<combination> selected_combinations() {
    std::vector<combination> result;
    for (auto const& pool : all_pools()) {
        for (auto const& conditions : all_scenarios()) {
            for (auto const& load : split(FLAGS_loads)) {
                for (auto const& policy : all_strategies()) {
                    if (is_selected(FLAGS_pools, pool.name) &&
                        is_selected(FLAGS_scenarios, conditions.name) &&
                        is_selected(FLAGS_strategies, policy.name)) {
                        result.push_back({pool, conditions, std::stod(load), policy});
                    }
                }
            }
        }
    }
    return result;
}

double quantile(std::vector<float> const& sorted, double share) {
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

nlohmann::json summarize(std::vector<double> values) {
    std::ranges::sort(values);
    double sum = 0;
    for (auto const value : values) {
        sum += value;
    }
    return {
        {"mean", sum / static_cast<double>(values.size())}, {"min", values.front()}, {"max", values.back()}};
}

nlohmann::json measure(combination const& setup) {
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> p999;
    run_result total;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        simulation sim({.conditions = setup.conditions,
                        .pool = setup.pool,
                        .load = setup.load,
                        .duration_s = FLAGS_seconds,
                        .seed = static_cast<std::uint64_t>(seed)});
        auto const policy = setup.policy.make(sim, static_cast<std::uint64_t>(seed));
        auto result = sim.run(*policy);
        std::ranges::sort(result.latencies_ms);
        p50.push_back(quantile(result.latencies_ms, 0.5));
        p99.push_back(quantile(result.latencies_ms, 0.99));
        p999.push_back(quantile(result.latencies_ms, 0.999));
        total.requests += result.requests;
        total.attempts += result.attempts;
        total.hedges += result.hedges;
        total.retries += result.retries;
        total.failures += result.failures;
    }
    auto const share = [&](std::uint64_t count) {
        return static_cast<double>(count) / static_cast<double>(std::max<std::uint64_t>(1, total.requests));
    };
    return {{"pool", setup.pool.name},
            {"scenario", setup.conditions.name},
            {"load", setup.load},
            {"strategy", setup.policy.name},
            {"p50_ms", summarize(p50)},
            {"p99_ms", summarize(p99)},
            {"p999_ms", summarize(p999)},
            {"requests", total.requests},
            {"hedge_share", share(total.hedges)},
            {"retry_share", share(total.retries)},
            {"failure_share", share(total.failures)}};
}

} // namespace

int main(int argc, char** argv) {
    try {
        pomelospread::parse_command_line(std::span(argv + 1, static_cast<std::size_t>(argc - 1)),
                                         "policy/main.cpp");
    } catch (std::exception const& failure) {
        std::cerr << failure.what() << "\n";
        return static_cast<int>(pomelospread::exit_code::usage);
    }
    auto const combinations = selected_combinations();
    std::atomic<std::size_t> next{0};
    std::mutex output;
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < FLAGS_threads; ++i) {
        threads.emplace_back([&] {
            for (auto index = next++; index < combinations.size(); index = next++) {
                auto const line = measure(combinations[index]).dump();
                std::lock_guard const lock(output);
                std::cout << line << std::endl;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return 0;
}
