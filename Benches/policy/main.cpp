// Measures the choice of target in virtual time and prints one JSON line for each combination.
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

DEFINE_string(pools, "", "Pools, separated by commas; all by default.");
DEFINE_string(scenarios, "", "Scenarios, separated by commas; all by default.");
DEFINE_string(strategies, "", "Strategies, separated by commas; all by default.");
DEFINE_string(loads, "0.75", "Loads, separated by commas.");
DEFINE_double(seconds, 20, "Virtual seconds of one run.");
DEFINE_int64(seeds, 20, "Seeds, from 1.");
DEFINE_int64(threads, 6, "Runs at a time.");

namespace {

std::vector<std::string> split(std::string const& text) {
    std::vector<std::string> words;
    std::string rest = text;
    while (!rest.empty()) {
        auto const comma = rest.find(',');
        words.push_back(rest.substr(0, comma));
        rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
    }
    return words;
}

bool is_wanted(std::string const& list, std::string_view name) {
    auto const words = split(list);
    return words.empty() || std::ranges::find(words, name) != words.end();
}

struct combination {
    pool_shape pool;
    scenario what;
    double load;
    named_strategy policy;
};

std::vector<combination> wanted_combinations() {
    std::vector<combination> result;
    for (auto const& pool : all_pools()) {
        for (auto const& what : all_scenarios()) {
            for (auto const& load : split(FLAGS_loads)) {
                for (auto const& policy : all_strategies()) {
                    if (is_wanted(FLAGS_pools, pool.name) && is_wanted(FLAGS_scenarios, what.name) &&
                        is_wanted(FLAGS_strategies, policy.name)) {
                        result.push_back({pool, what, std::stod(load), policy});
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

nlohmann::json spread(std::vector<double> values) {
    std::ranges::sort(values);
    double sum = 0;
    for (auto const value : values) {
        sum += value;
    }
    return {
        {"mean", sum / static_cast<double>(values.size())}, {"min", values.front()}, {"max", values.back()}};
}

nlohmann::json measure(combination const& each) {
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> p999;
    run_result total;
    for (std::int64_t seed = 1; seed <= FLAGS_seeds; ++seed) {
        simulation world({.conditions = each.what,
                          .pool = each.pool,
                          .load = each.load,
                          .duration_s = FLAGS_seconds,
                          .seed = static_cast<std::uint64_t>(seed)});
        auto const policy = each.policy.make(world, static_cast<std::uint64_t>(seed));
        auto result = world.run(*policy);
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
    return {{"pool", each.pool.name},
            {"scenario", each.what.name},
            {"load", each.load},
            {"strategy", each.policy.name},
            {"p50_ms", spread(p50)},
            {"p99_ms", spread(p99)},
            {"p999_ms", spread(p999)},
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
    auto const combinations = wanted_combinations();
    std::atomic<std::size_t> next{0};
    std::mutex output;
    std::vector<std::thread> threads;
    for (std::int64_t i = 0; i < FLAGS_threads; ++i) {
        threads.emplace_back([&] {
            for (auto number = next++; number < combinations.size(); number = next++) {
                auto const line = measure(combinations[number]).dump();
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
