// A load of short slow moments in virtual time, with hedges.
#pragma once

#include "coordination/hedge_inputs.hpp"
#include "coordination/ratio_budget.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pomelospread {

/// 20 targets with 2 slots and a queue each, driven in steps of 1 ms. A target is five times slower in 30% of
/// its periods of 150 ms; the state at the start of a request applies to all of it. Each target's report
/// arrives every 20 ms and is 5 ms old then.
class slow_moments_load {
public:
    explicit slow_moments_load(double hedge_share) : m_budget(hedge_share, 4.0), m_targets(20) {
        std::vector<listed_target> listed;
        for (std::size_t i = 0; i < m_targets.size(); ++i) {
            listed.push_back({.id = std::to_string(i), .pool = "p", .zone = "z", .slots = 2});
        }
        m_selector.set_targets(listed, now());
    }

    void play(std::size_t request_count, std::int64_t interval_ms) {
        for (; m_latencies.size() < request_count; ++m_ms) {
            for (std::size_t i = 0; i < m_targets.size(); ++i) {
                step_target(i);
            }
            if (m_ms % interval_ms == 0) {
                m_budget.deposit();
                std::int64_t const work = std::uniform_int_distribution(120, 300)(m_random);
                m_open.push_back(std::make_shared<request>(request{.work_ms = work, .arrived = m_ms}));
                start(m_open.back(), *m_selector.choose("p", {}, now(), m_random));
            }
            std::ranges::for_each(m_open, [this](auto const& each) { consider_hedge(each); });
            std::erase_if(m_open, [](auto const& each) { return each->is_done; });
        }
        std::ranges::sort(m_latencies);
    }
    std::int64_t p99_ms() const { return m_latencies[m_latencies.size() * 99 / 100]; }
    double hedge_share() const { return m_hedges / static_cast<double>(m_latencies.size()); }
    /// Slot time of the attempts that lost, as a share of that of the others.
    double extra_work() const { return m_lost_ms / m_used_ms; }

private:
    struct request {
        std::int64_t work_ms = 0;
        std::int64_t arrived = 0;
        std::int64_t look_at = 0;
        std::int64_t last_sent = 0;
        std::vector<std::string> targets{};
        bool is_done = false;
    };
    struct attempt {
        std::shared_ptr<request> owner;
        std::optional<double> slowdown;
        std::int64_t sent = 0;
        std::int64_t started = -1;
        std::int64_t ends = 0;
    };

    target_selector::time_point now() const {
        return target_selector::time_point(std::chrono::milliseconds(1) * m_ms);
    }

    double slowdown(std::size_t target, std::int64_t ms) {
        auto const period = (ms + static_cast<std::int64_t>(target) * 37) / 150;
        auto const [found, is_new] = m_slowdowns.try_emplace({target, period}, 1.0);
        if (is_new && m_noise() % 100 < 30) {
            found->second = 5.0;
        }
        return found->second;
    }

    void start(std::shared_ptr<request> const& owner, target_choice const& choice) {
        auto const known = m_selector.known_slowdown(choice);
        m_selector.attempt_started(choice.id, now());
        owner->targets.push_back(choice.id);
        owner->last_sent = m_ms;
        m_targets[std::stoul(choice.id)].push_back({.owner = owner, .slowdown = known, .sent = m_ms});
    }

    void step_target(std::size_t index) {
        auto& attempts = m_targets[index];
        std::erase_if(attempts, [&](auto const& each) {
            bool const wins = !each.owner->is_done && each.started >= 0 && m_ms >= each.ends;
            if (!each.owner->is_done && !wins) {
                return false;
            }
            if (wins) {
                each.owner->is_done = true;
                m_latencies.push_back(m_ms - each.owner->arrived);
            }
            (wins ? m_used_ms : m_lost_ms) +=
                each.started < 0 ? 0.0 : static_cast<double>(m_ms - each.started);
            auto const outcome = wins ? attempt_outcome::succeeded : attempt_outcome::cancelled;
            auto const latency = std::chrono::milliseconds(1) * (m_ms - each.sent);
            m_selector.attempt_finished({std::to_string(index), 0, outcome, latency, each.slowdown}, now());
            return true;
        });
        for (std::size_t i = 0; i < std::min<std::size_t>(2, attempts.size()); ++i) {
            if (auto& each = attempts[i]; each.started < 0) {
                each.started = m_ms;
                each.ends = m_ms + each.owner->work_ms * static_cast<std::int64_t>(slowdown(index, m_ms));
            }
        }
        if ((m_ms + static_cast<std::int64_t>(index) * 3) % 20 == 0) {
            auto const running = static_cast<std::uint32_t>(attempts.size());
            m_selector.apply_load_report(std::to_string(index), {running, 0, 2, slowdown(index, m_ms - 5)},
                                         now());
        }
    }

    void consider_hedge(std::shared_ptr<request> const& each) {
        if (each->is_done || each->look_at > m_ms) {
            return;
        }
        hedged_request subject{.age = std::chrono::milliseconds(1) * (m_ms - each->arrived),
                               .time_since_sent = std::chrono::milliseconds(1) * (m_ms - each->last_sent),
                               .objective = std::chrono::milliseconds(1000),
                               .deadline = std::chrono::milliseconds(2000),
                               .attempts = static_cast<std::int64_t>(each->targets.size()),
                               .max_attempts = 2};
        set_last_report(subject, m_selector, each->targets.back(), now());
        auto const best =
            m_selector.best_reported_target("p", each->targets, std::chrono::milliseconds(25), now());
        auto const decision =
            m_policy.decide(subject, read_pool_times(m_selector, "p"),
                            {to_hedge_target(best), false, m_selector.available_capacity("p", now())});
        each->look_at = decision.action == hedge_action::never ? INT64_MAX : m_ms + 10;
        if (decision.action == hedge_action::send && m_budget.try_withdraw()) {
            ++m_hedges;
            start(each, *best);
        }
    }

    random_source m_random{20261206};
    random_source m_noise{17};
    target_selector m_selector{"z", {}};
    ratio_budget m_budget;
    hedge_policy m_policy;
    std::int64_t m_ms = 1000;
    std::vector<std::vector<attempt>> m_targets;
    std::map<std::pair<std::size_t, std::int64_t>, double> m_slowdowns;
    std::vector<std::shared_ptr<request>> m_open;
    std::vector<std::int64_t> m_latencies;
    double m_hedges = 0;
    double m_lost_ms = 0;
    double m_used_ms = 0;
};

} // namespace pomelospread
