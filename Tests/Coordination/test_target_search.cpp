#include "coordination/target_search.hpp"
#include "coordination/target_selector.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using clock_time = target_search::time_point;

search_candidate candidate(std::size_t index, bool own_zone, bool idle, std::int64_t age, double slowdown) {
    return {.index = index,
            .expected_ms =
                (age < 0 || age >= 5 ? 2.2 : slowdown) * 100 + (own_zone ? 0 : 5) + (idle ? 0 : 70),
            .undisturbed_ms = own_zone ? 100.0 : 105.0,
            .slowdown = slowdown,
            .is_idle = idle,
            .is_in_own_zone = own_zone,
            .report_age_ms = age};
}

/// A pool whose targets are slowed down by neighbours and by their own load, in virtual time.
class noisy_pool {
public:
    static constexpr std::size_t target_count = 40;
    static constexpr double work_ms = 120;

    explicit noisy_pool(random_source& random) : m_random(random), m_states(target_count) {}

    double slowdown(std::size_t target, clock_time now) {
        auto& state = m_states[target];
        if (now >= state.changes_at) {
            state.slowdown = m_random() % 10 < 3 ? 5.0 : 1.0;
            state.changes_at = now + std::chrono::milliseconds(m_random() % 300);
        }
        return state.slowdown;
    }
    std::uint32_t& running(std::size_t target) { return m_states[target].running; }
    /// The time that a request takes which starts now.
    double service_ms(std::size_t target, clock_time now) {
        auto const load = running(target) + 1;
        auto const queue_ms = load > 2 ? (load - 2) * work_ms / 2 : 0;
        return work_ms * slowdown(target, now) * (load >= 2 ? 1.7 : 1.0) + queue_ms;
    }

private:
    struct state {
        double slowdown = 1.0;
        clock_time changes_at{};
        std::uint32_t running = 0;
    };
    random_source& m_random;
    std::vector<state> m_states;
};

struct played_load {
    double p99_ms = 0;
    double late_share = 0; ///< Of requests that take more than twice the work.
    std::size_t probes = 0;
};

enum class choice_kind : std::uint8_t { search, no_probes, omniscient };

/// One home sends `per_second` requests to the pool for 20 s.
played_load play(choice_kind kind, double per_second) {
    random_source random{20261206};
    noisy_pool pool(random);
    target_selector selector("z", target_selector_policy{});
    std::vector<listed_target> listed;
    for (std::size_t i = 0; i < noisy_pool::target_count; ++i) {
        listed.push_back({.id = "t" + std::to_string(100 + i),
                          .pool = "p",
                          .address = {"127.0.0.1", 80},
                          .zone = "z",
                          .slots = 2});
    }
    clock_time now{100s};
    selector.set_targets(listed, now);
    auto const index_of = [](std::string const& id) { return std::stoul(id.substr(1)) - 100; };
    auto const report = [&](std::size_t i) {
        selector.apply_load_report(
            listed[i].id, {.running = pool.running(i), .slots = 2, .slowdown = pool.slowdown(i, now)}, now);
    };
    struct end_of_request {
        clock_time at;
        std::size_t target;
        std::chrono::nanoseconds latency;
        bool operator>(end_of_request const& other) const { return at > other.at; }
    };
    std::priority_queue<end_of_request, std::vector<end_of_request>, std::greater<>> running;
    std::vector<double> latencies;
    played_load result;
    auto const finish_until = [&](clock_time until) {
        while (!running.empty() && running.top().at <= until) {
            auto const ended = running.top();
            running.pop();
            now = std::max(now, ended.at);
            --pool.running(ended.target);
            report(ended.target);
            selector.attempt_finished(
                {.target = listed[ended.target].id, .latency = ended.latency, .slowdown = 1.0}, now);
        }
    };
    for (auto arrival = now; arrival < clock_time{120s};) {
        arrival += std::chrono::microseconds(static_cast<std::int64_t>(
            -std::log(1.0 - static_cast<double>(random() % 10000) / 10000.0) * 1e6 / per_second));
        finish_until(arrival);
        now = std::max(now, arrival);
        std::size_t chosen = 0;
        if (kind == choice_kind::omniscient) {
            for (std::size_t i = 1; i < noisy_pool::target_count; ++i) {
                chosen = pool.service_ms(i, now) < pool.service_ms(chosen, now) ? i : chosen;
            }
        } else {
            auto search = selector.begin_search("p", now);
            while (kind == choice_kind::search) {
                auto const round = selector.next_search_round(
                    search, "p", {}, [](std::string const&) { return true; }, now, random);
                if (round.empty()) {
                    break;
                }
                now += 1500us; // A round trip and the target's own time.
                for (auto const& each : round) {
                    report(index_of(each.id));
                }
                result.probes += round.size();
            }
            chosen = index_of(selector.choose("p", {}, now, random)->id);
        }
        auto const service_ms = pool.service_ms(chosen, now);
        selector.attempt_started(listed[chosen].id, now);
        ++pool.running(chosen);
        auto const latency = std::chrono::microseconds(static_cast<std::int64_t>(service_ms * 1000));
        running.push({.at = now + latency, .target = chosen, .latency = latency});
        latencies.push_back(std::chrono::duration<double, std::milli>(now + latency - arrival).count());
    }
    std::ranges::sort(latencies);
    result.p99_ms = latencies[latencies.size() * 99 / 100];
    result.late_share = static_cast<double>(std::ranges::count_if(
                            latencies, [](double each) { return each > 2 * noisy_pool::work_ms; })) /
                        static_cast<double>(latencies.size());
    return result;
}

} // namespace

TEST_GROUP(target_searches) {
    random_source random{20261206};
    clock_time now{100s};
    target_search search{target_search_policy{}, 100ms, now};

    std::vector<std::size_t> round(std::vector<search_candidate> const& candidates, double good_share = 0.5) {
        auto indices = search.next_round(candidates, good_share, now, random);
        std::ranges::sort(indices);
        return indices;
    }
};

TEST(target_searches, probes_those_that_may_be_better_than_what_is_known) {
    // The choice used to settle for a target with a fresh report that was already running a request.
    struct row {
        char const* name;
        std::vector<search_candidate> candidates;
        std::vector<std::size_t> probed;
    };
    std::array<row, 6> const rows{{
        {"a good one is known", {candidate(0, true, true, 2, 1.0), candidate(1, true, true, -1, 1)}, {}},
        {"the fresh one is busy", {candidate(0, true, false, 2, 1.0), candidate(1, true, true, -1, 1)}, {1}},
        {"the fresh one is slow", {candidate(0, true, true, 2, 5.0), candidate(1, true, true, 60, 1)}, {1}},
        {"own zone first", {candidate(0, false, true, -1, 1), candidate(1, true, true, -1, 1)}, {1}},
        {"other zone when the own one has none",
         {candidate(0, false, true, -1, 1), candidate(1, true, true, 1, 5)},
         {0}},
        {"no target", {}, {}},
    }};
    for (auto const& each : rows) {
        search = target_search({}, 100ms, now);
        CHECK_TEXT(round(each.candidates) == each.probed, each.name);
    }
}

TEST(target_searches, ends_when_a_round_costs_more_than_it_saves) {
    // Probes whose round trip is long beside the work would delay every request.
    std::vector<search_candidate> const unknown{candidate(0, true, true, -1, 1),
                                                candidate(1, true, true, -1, 1)};
    CHECK_FALSE(round(unknown).empty());
    now += 9ms;
    CHECK_FALSE(round(unknown).empty());
    now += 2ms; // A tenth of the service time has passed.
    CHECK(round(unknown).empty());
    search = target_search({}, 100ms, now);
    CHECK(round(unknown, 0.001).empty()); // Almost no target is ever good.
}

TEST(target_searches, finds_undisturbed_targets_almost_as_an_omniscient_choice_does) {
    // Without the search, a request lands on a disturbed target as often as such targets are.
    for (double const per_second : {40.0, 100.0}) {
        auto const searched = play(choice_kind::search, per_second);
        auto const blind = play(choice_kind::no_probes, per_second);
        auto const best = play(choice_kind::omniscient, per_second);
        CHECK(searched.p99_ms <= best.p99_ms * 1.10);
        CHECK(searched.late_share <= best.late_share + 0.01);
        CHECK(blind.late_share > 5 * searched.late_share);
        // 20 s; well below 30 probes per target and second.
        CHECK(static_cast<double>(searched.probes) < 20.0 * 30 * noisy_pool::target_count);
    }
}
