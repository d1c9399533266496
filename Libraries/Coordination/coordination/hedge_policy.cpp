#include "coordination/hedge_policy.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

using std::chrono::nanoseconds;

nanoseconds scaled(nanoseconds time, double factor) {
    return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

hedge_decision look_again_at(nanoseconds time) {
    return {.action = hedge_action::look_again, .look_at = time};
}

} // namespace

bool hedge_policy::is_slow(double slowdown, hedge_pool_times const& times) const {
    return slowdown > times.mean_slowdown * m_limits.slow_factor;
}

nanoseconds hedge_policy::outlived_after(hedge_pool_times const& times) const {
    return std::max({times.high_response_time, scaled(times.typical_service_time, m_limits.min_delay_ratio),
                     nanoseconds(m_limits.min_delay)});
}

bool hedge_policy::is_known_idle(std::optional<hedge_target> const& target,
                                 hedge_pool_times const& times) const {
    return target && target->is_idle && target->report_age <= m_limits.max_report_age &&
           !is_slow(target->slowdown, times);
}

std::optional<hedge_reason> hedge_policy::find_reason(hedged_request const& request,
                                                      hedge_pool_times const& times) const {
    if (times.typical_service_time <= nanoseconds::zero()) {
        return std::nullopt;
    }
    if (request.time_since_sent >= outlived_after(times)) {
        return hedge_reason::outlived_peers;
    }
    auto const report_delay = request.time_since_sent - request.report_age; // After the sending.
    bool const reports_slow_moment = request.slowdown && is_slow(*request.slowdown, times) &&
                                     report_delay > nanoseconds::zero() &&
                                     report_delay <= m_limits.max_report_delay;
    // A slow attempt that ends before a hedge could is left alone.
    bool const ends_after_hedge =
        reports_slow_moment &&
        scaled(times.typical_service_time, *request.slowdown) - request.time_since_sent >
            times.typical_service_time;
    return ends_after_hedge ? std::optional(hedge_reason::target_slowed_down) : std::nullopt;
}

hedge_decision hedge_policy::decide(hedged_request const& request, hedge_pool_times const& times,
                                    hedge_room const& room) const {
    if (request.attempts >= request.max_attempts ||
        request.age + times.typical_service_time > request.deadline) {
        return {.action = hedge_action::never};
    }
    auto const next_look = request.age + m_limits.look_interval;
    if (times.typical_service_time <= nanoseconds::zero()) {
        return look_again_at(next_look);
    }
    auto const sent_at = request.age - request.time_since_sent;
    if (request.age + times.typical_service_time > request.objective) {
        auto const stuck_at = sent_at + scaled(times.mean_service_time, m_limits.stuck_factor);
        if (stuck_at + times.typical_service_time > request.deadline) {
            return {.action = hedge_action::never};
        }
        if (request.age < stuck_at) {
            return look_again_at(stuck_at);
        }
    }
    if (!find_reason(request, times)) {
        return look_again_at(std::min(next_look, sent_at + outlived_after(times)));
    }
    auto const next_room = request.age + m_limits.blocked_look_interval;
    if (room.has_queued_requests || room.available_capacity < m_limits.min_available_capacity) {
        return look_again_at(next_room);
    }
    if (!is_known_idle(room.best_target, times)) {
        auto decision = look_again_at(next_room);
        decision.needs_report = true;
        return decision;
    }
    return {.action = hedge_action::send};
}

} // namespace pomelospread
