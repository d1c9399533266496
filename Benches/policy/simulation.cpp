#include "simulation.hpp"

#include <algorithm>

namespace {

constexpr double warm_up_seconds = 2;
constexpr double cold_factor = 3;
constexpr double cold_seconds = 2;
constexpr double fast_failure_share = 0.1;
constexpr std::uint32_t special_target = 0;

} // namespace

simulation::simulation(run_settings const& settings)
    : m_settings(settings), m_random(settings.seed), m_service_random(settings.seed * 7919 + 17),
      m_targets(settings.pool.targets), m_instance_alive(fleet_shape::instances, true) {
    plan_targets();
}

void simulation::plan_targets() {
    auto const& what = m_settings.what;
    if (what.slow_period <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(1.0 / what.slow_period);
    for (auto& target : m_targets) {
        for (double when = gap(m_service_random); when < m_settings.seconds;
             when += what.slow_length + gap(m_service_random)) {
            target.slow_from.push_back(when);
        }
    }
}

run_result simulation::run(strategy& policy) {
    m_policy = &policy;
    plan_changes(policy);
    next_arrival(policy);
    while (!m_events.empty()) {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.what();
    }
    return std::move(m_result);
}

void simulation::plan_changes(strategy& policy) {
    auto const middle = m_settings.seconds / 2;
    auto const& what = m_settings.what;
    if (what.cold_start) {
        m_targets[special_target].present = false;
        policy.set_present(*this, special_target, false);
        at(middle, [this, &policy] {
            m_targets[special_target].present = true;
            m_targets[special_target].joined = m_now;
            policy.set_present(*this, special_target, true);
        });
    }
    if (what.drain) {
        at(middle, [this, &policy] {
            m_targets[special_target].present = false;
            policy.set_present(*this, special_target, false);
        });
    }
    if (what.home_lost) {
        at(middle, [this, &policy] {
            m_instance_alive[0] = false;
            policy.instance_died(*this, 0);
        });
    }
}

double simulation::current_load() const {
    auto const period = m_settings.what.load_step_period;
    if (period <= 0) {
        return m_settings.load;
    }
    bool const high = static_cast<std::uint64_t>(m_now / period) % 2 == 1;
    return m_settings.load * (high ? 1.25 : 0.75);
}

void simulation::next_arrival(strategy& policy) {
    auto const capacity = static_cast<double>(m_targets.size() * slots()) / fleet_shape::mean_service;
    std::exponential_distribution<double> gap(current_load() * capacity);
    auto const when = m_now + gap(m_random);
    if (when >= m_settings.seconds) {
        return;
    }
    at(when, [this, &policy] {
        auto const number = static_cast<std::uint32_t>(m_requests.size());
        m_requests.push_back({.arrived = m_now, .instance = choose_instance(policy)});
        ++m_result.requests;
        policy.arrived(*this, number);
        next_arrival(policy);
    });
}

std::uint32_t simulation::choose_instance(strategy const& policy) {
    std::uniform_real_distribution<double> share(0, 1);
    auto const any = [&] {
        for (;;) {
            auto const chosen = static_cast<std::uint32_t>(m_random() % fleet_shape::instances);
            if (m_instance_alive[chosen]) {
                return chosen;
            }
        }
    };
    if (policy.homes() == 0 || share(m_random) < m_settings.what.ignoring) {
        return any();
    }
    // After the first home is lost, the next instance by weight takes its part.
    std::uint32_t const first = m_instance_alive[0] ? 0 : policy.homes();
    if (policy.homes() == 1 || share(m_random) < m_settings.what.uneven) {
        return first;
    }
    return 1 + static_cast<std::uint32_t>(m_random() % (policy.homes() - 1));
}

std::uint32_t simulation::in_target(std::uint32_t target) const {
    return m_targets[target].busy + static_cast<std::uint32_t>(m_targets[target].waiting.size());
}

void simulation::at(virtual_time when, std::function<void()> what) {
    m_events.push({.when = when, .number = m_next_event++, .what = std::move(what)});
}

copy_handle simulation::send(std::uint32_t request, std::uint32_t target) {
    auto copy = make_copy(request, target);
    at(m_now + fleet_shape::one_way, [this, copy] { reach_target(*m_policy, copy); });
    return copy;
}

void simulation::send_at_once(std::uint32_t request, std::uint32_t target) {
    reach_target(*m_policy, make_copy(request, target));
}

copy_handle simulation::make_copy(std::uint32_t request, std::uint32_t target) {
    ++m_result.tries;
    auto copy = std::make_shared<try_copy>();
    copy->request = request;
    copy->target = target;
    copy->started = m_now;
    return copy;
}

void simulation::cancel(copy_handle const& copy) {
    copy->cancelled = true;
    at(m_now + fleet_shape::one_way, [this, copy] {
        if (!copy->running || copy->finished) {
            return;
        }
        copy->finished = true;
        --m_targets[copy->target].busy;
        start_next(*m_policy, copy->target);
    });
}

void simulation::reach_target(strategy& policy, copy_handle const& copy) {
    if (fails_fast(copy->target)) {
        copy->finished = true;
        at(m_now + fleet_shape::mean_service * fast_failure_share + fleet_shape::one_way,
           [this, &policy, copy] { policy.answered(*this, copy, true); });
        return;
    }
    m_targets[copy->target].waiting.push_back(copy);
    start_next(policy, copy->target);
}

void simulation::start_next(strategy& policy, std::uint32_t number) {
    auto& target = m_targets[number];
    while (target.busy < slots() && !target.waiting.empty()) {
        auto const copy = target.waiting.front();
        target.waiting.pop_front();
        if (copy->cancelled) {
            copy->finished = true;
            continue;
        }
        start(policy, copy);
    }
}

void simulation::start(strategy& policy, copy_handle const& copy) {
    auto& target = m_targets[copy->target];
    ++target.busy;
    copy->running = true;
    std::exponential_distribution<double> service(1.0 / fleet_shape::mean_service);
    auto const end = end_of_work(target, service(m_service_random));
    at(end, [this, &policy, copy] {
        if (copy->finished) {
            return;
        }
        copy->finished = true;
        --m_targets[copy->target].busy;
        at(m_now + fleet_shape::one_way, [this, &policy, copy] { policy.answered(*this, copy, false); });
        start_next(policy, copy->target);
        policy.slot_freed(*this);
    });
}

virtual_time simulation::end_of_work(fake_target const& target, double work) const {
    if (target.joined >= 0 && m_now - target.joined < cold_seconds) {
        work *= cold_factor;
    }
    // Work goes on at the normal rate outside slow times and at a fraction of it inside.
    auto when = m_now;
    auto slow = std::ranges::upper_bound(target.slow_from, when - m_settings.what.slow_length);
    for (; slow != target.slow_from.end(); ++slow) {
        auto const before = std::max(0.0, *slow - when);
        if (work <= before) {
            return when + work;
        }
        work -= before;
        when += before;
        auto const slow_end = *slow + m_settings.what.slow_length;
        auto const possible = (slow_end - when) / m_settings.what.slow_factor;
        if (work <= possible) {
            return when + work * m_settings.what.slow_factor;
        }
        work -= possible;
        when = slow_end;
    }
    return when + work;
}

bool simulation::fails_fast(std::uint32_t target) const {
    auto const quarter = m_settings.seconds / 4;
    return m_settings.what.fast_failing && target == special_target && m_now > quarter && m_now < 3 * quarter;
}

void simulation::move(std::uint32_t request, std::uint32_t instance, virtual_time latency) {
    m_requests[request].instance = instance;
    m_requests[request].way_back = latency;
}

void simulation::complete(std::uint32_t request, bool failed) {
    auto& state = m_requests[request];
    if (state.done) {
        return;
    }
    state.done = true;
    m_result.failures += failed ? 1 : 0;
    // A failed request has no latency worth counting; its share is told beside.
    if (state.arrived >= warm_up_seconds && !failed) {
        m_result.latencies_ms.push_back(static_cast<float>((m_now + state.way_back - state.arrived) * 1000));
    }
}
