#include "simulation.hpp"

#include <algorithm>

namespace {

constexpr double warm_up_seconds = 2;
constexpr double cold_start_factor = 3;
constexpr double cold_start_seconds = 2;
constexpr double fast_failure_duration_factor = 0.1; ///< Of the mean service time.
/// The target that joins, leaves or fails in the scenarios with such a target.
constexpr std::uint32_t affected_target = 0;

} // namespace

simulation::simulation(run_settings const& settings)
    : m_settings(settings), m_random(settings.seed), m_service_random(settings.seed * 7919 + 17),
      m_targets(settings.pool.targets), m_instance_alive(fleet_parameters::instances, true) {
    schedule_slow_phases();
}

void simulation::schedule_slow_phases() {
    auto const& conditions = m_settings.conditions;
    if (conditions.mean_time_between_slow_phases_s <= 0) {
        return;
    }
    std::exponential_distribution<double> gap(1.0 / conditions.mean_time_between_slow_phases_s);
    for (auto& target : m_targets) {
        for (double when = gap(m_service_random); when < m_settings.duration_s;
             when += conditions.slow_duration_s + gap(m_service_random)) {
            target.slow_phase_starts.push_back(when);
        }
    }
}

run_result simulation::run(strategy& policy) {
    m_strategy = &policy;
    schedule_fleet_events(policy);
    schedule_next_arrival(policy);
    while (!m_events.empty()) {
        auto const next = m_events.top();
        m_events.pop();
        m_now = next.when;
        next.action();
    }
    return std::move(m_result);
}

void simulation::schedule_fleet_events(strategy& policy) {
    auto const middle = m_settings.duration_s / 2;
    auto const& conditions = m_settings.conditions;
    if (conditions.cold_start) {
        m_targets[affected_target].present = false;
        policy.set_target_present(*this, affected_target, false);
        schedule(middle, [this, &policy] {
            m_targets[affected_target].present = true;
            m_targets[affected_target].joined_at = m_now;
            policy.set_target_present(*this, affected_target, true);
        });
    }
    if (conditions.drain) {
        schedule(middle, [this, &policy] {
            m_targets[affected_target].present = false;
            policy.set_target_present(*this, affected_target, false);
        });
    }
    if (conditions.home_fails) {
        schedule(middle, [this, &policy] {
            m_instance_alive[0] = false;
            policy.on_instance_failed(*this, 0);
        });
    }
}

double simulation::current_load() const {
    auto const period = m_settings.conditions.load_step_duration_s;
    if (period <= 0) {
        return m_settings.load;
    }
    bool const high = static_cast<std::uint64_t>(m_now / period) % 2 == 1;
    return m_settings.load * (high ? 1.25 : 0.75);
}

void simulation::schedule_next_arrival(strategy& policy) {
    auto const capacity =
        static_cast<double>(m_targets.size() * slots()) / fleet_parameters::mean_service_time_s;
    std::exponential_distribution<double> gap(current_load() * capacity);
    auto const when = m_now + gap(m_random);
    if (when >= m_settings.duration_s) {
        return;
    }
    schedule(when, [this, &policy] {
        auto const request = static_cast<std::uint32_t>(m_requests.size());
        m_requests.push_back({.arrived_at = m_now, .instance = choose_instance(policy)});
        ++m_result.requests;
        policy.on_request_arrived(*this, request);
        schedule_next_arrival(policy);
    });
}

std::uint32_t simulation::choose_instance(strategy const& policy) {
    std::uniform_real_distribution<double> share(0, 1);
    auto const any_instance = [&] {
        for (;;) {
            auto const chosen = static_cast<std::uint32_t>(m_random() % fleet_parameters::instances);
            if (m_instance_alive[chosen]) {
                return chosen;
            }
        }
    };
    if (policy.homes_per_pool() == 0 || share(m_random) < m_settings.conditions.home_ignoring_share) {
        return any_instance();
    }
    // After the first home failed, the first instance that is not a home takes its place.
    std::uint32_t const first = m_instance_alive[0] ? 0 : policy.homes_per_pool();
    if (policy.homes_per_pool() == 1 || share(m_random) < m_settings.conditions.first_home_share) {
        return first;
    }
    return 1 + static_cast<std::uint32_t>(m_random() % (policy.homes_per_pool() - 1));
}

std::uint32_t simulation::requests_at_target(std::uint32_t target) const {
    return m_targets[target].busy_slots + static_cast<std::uint32_t>(m_targets[target].waiting.size());
}

void simulation::schedule(virtual_time when, std::function<void()> action) {
    m_events.push({.when = when, .sequence = m_next_event++, .action = std::move(action)});
}

attempt_handle simulation::send(std::uint32_t request, std::uint32_t target) {
    auto handle = make_attempt(request, target);
    schedule(m_now + fleet_parameters::one_way_latency_s,
             [this, handle] { arrive_at_target(*m_strategy, handle); });
    return handle;
}

void simulation::send_without_latency(std::uint32_t request, std::uint32_t target) {
    arrive_at_target(*m_strategy, make_attempt(request, target));
}

attempt_handle simulation::make_attempt(std::uint32_t request, std::uint32_t target) {
    ++m_result.attempts;
    auto handle = std::make_shared<attempt>();
    handle->request = request;
    handle->target = target;
    handle->started_at = m_now;
    return handle;
}

void simulation::cancel(attempt_handle const& handle) {
    handle->cancelled = true;
    schedule(m_now + fleet_parameters::one_way_latency_s, [this, handle] {
        if (!handle->running || handle->finished) {
            return;
        }
        handle->finished = true;
        --m_targets[handle->target].busy_slots;
        start_next(*m_strategy, handle->target);
    });
}

void simulation::arrive_at_target(strategy& policy, attempt_handle const& handle) {
    if (is_failing_fast(handle->target)) {
        handle->finished = true;
        schedule(m_now + fleet_parameters::mean_service_time_s * fast_failure_duration_factor +
                     fleet_parameters::one_way_latency_s,
                 [this, &policy, handle] { policy.on_response(*this, handle, true); });
        return;
    }
    m_targets[handle->target].waiting.push_back(handle);
    start_next(policy, handle->target);
}

void simulation::start_next(strategy& policy, std::uint32_t target_index) {
    auto& target = m_targets[target_index];
    while (target.busy_slots < slots() && !target.waiting.empty()) {
        auto const handle = target.waiting.front();
        target.waiting.pop_front();
        if (handle->cancelled) {
            handle->finished = true;
            continue;
        }
        start(policy, handle);
    }
}

void simulation::start(strategy& policy, attempt_handle const& handle) {
    auto& target = m_targets[handle->target];
    ++target.busy_slots;
    handle->running = true;
    std::exponential_distribution<double> service(1.0 / fleet_parameters::mean_service_time_s);
    auto const end = completion_time(target, service(m_service_random));
    schedule(end, [this, &policy, handle] {
        if (handle->finished) {
            return;
        }
        handle->finished = true;
        --m_targets[handle->target].busy_slots;
        schedule(m_now + fleet_parameters::one_way_latency_s,
                 [this, &policy, handle] { policy.on_response(*this, handle, false); });
        start_next(policy, handle->target);
        policy.on_slot_freed(*this);
    });
}

virtual_time simulation::completion_time(simulated_target const& target, double remaining_work) const {
    if (target.joined_at >= 0 && m_now - target.joined_at < cold_start_seconds) {
        remaining_work *= cold_start_factor;
    }
    // The work proceeds at the normal rate outside slow phases and at 1 / `slow_factor` of it within them.
    auto when = m_now;
    auto slow =
        std::ranges::upper_bound(target.slow_phase_starts, when - m_settings.conditions.slow_duration_s);
    for (; slow != target.slow_phase_starts.end(); ++slow) {
        auto const normal_time = std::max(0.0, *slow - when);
        if (remaining_work <= normal_time) {
            return when + remaining_work;
        }
        remaining_work -= normal_time;
        when += normal_time;
        auto const slow_end = *slow + m_settings.conditions.slow_duration_s;
        auto const slow_work = (slow_end - when) / m_settings.conditions.slow_factor;
        if (remaining_work <= slow_work) {
            return when + remaining_work * m_settings.conditions.slow_factor;
        }
        remaining_work -= slow_work;
        when = slow_end;
    }
    return when + remaining_work;
}

bool simulation::is_failing_fast(std::uint32_t target) const {
    auto const quarter = m_settings.duration_s / 4;
    return m_settings.conditions.fast_failing && target == affected_target && m_now > quarter &&
           m_now < 3 * quarter;
}

void simulation::reassign(std::uint32_t request, std::uint32_t instance, virtual_time latency) {
    m_requests[request].instance = instance;
    m_requests[request].return_latency = latency;
}

void simulation::complete(std::uint32_t request, bool failed) {
    auto& state = m_requests[request];
    if (state.done) {
        return;
    }
    state.done = true;
    m_result.failures += failed ? 1 : 0;
    // The latencies leave out failed requests, whose latency has no meaning; `failures` counts them.
    if (state.arrived_at >= warm_up_seconds && !failed) {
        m_result.latencies_ms.push_back(
            static_cast<float>((m_now + state.return_latency - state.arrived_at) * 1000));
    }
}
