#include "gateway/admission_controller.hpp"

#include "base/log.hpp"
#include "base/random.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <random>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

/// How often a queued request checks the available capacity while nothing wakes it.
constexpr auto capacity_poll_interval = milliseconds(20);

} // namespace

struct admission_controller::waiter {
    bool granted = false;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
};

bool admission_controller::is_paused_too_long(admission_request const& request, steady_time now) const {
    auto const paused_until = m_state.selector.paused_until(request.pool, now);
    auto const& deadlines = request.deadlines;
    if (!paused_until ||
        *paused_until <= std::min(deadlines.soft_start_deadline, deadlines.hard_start_deadline)) {
        return false;
    }
    log_line(log_level::info, "pool_paused")
        .field("request", request.request_id)
        .field("pool", request.pool)
        .field("left_ms", std::chrono::ceil<milliseconds>(*paused_until - now).count())
        .write();
    m_state.counters.add(counter::refused_targets_paused);
    return true;
}

capacity_release_rate admission_controller::release_rate(std::string const& pool) const {
    auto const own_in_flight = std::max(1U, m_state.selector.own_pool_in_flight(pool));
    return {.release_interval = m_state.selector.current_service_time(pool) / own_in_flight};
}

std::chrono::nanoseconds admission_controller::retry_delay(std::string const& pool, steady_time now) {
    auto& admission = m_pools[pool];
    return admission.retries.delay(admission.queue.size(), release_rate(pool).release_interval,
                                   std::uniform_real_distribution(0.0, 1.0)(thread_random()), now);
}

bool admission_controller::acquire_permit(admission_request const& request, interruption_notifier& notifier) {
    auto& admission = m_pools[request.pool];
    auto const now = std::chrono::steady_clock::now();
    auto const& deadlines = request.deadlines;
    if (admission.queue.size() == 0 && m_state.selector.available_capacity(request.pool, now) >=
                                           static_cast<double>(admission.reserved_permits + 1)) {
        ++admission.reserved_permits;
        return true;
    }
    if (is_paused_too_long(request, now)) {
        return false;
    }
    auto const rate = release_rate(request.pool);
    // While all targets are paused no capacity is released; at the end of the first pause all of its
    // target's capacity is available at once.
    auto const start = m_state.selector.paused_until(request.pool, now).value_or(now);
    auto const awaited_permits = admission.queue.size() + admission.reserved_permits + 1;
    bool const is_pause_enough = start > now && m_state.selector.available_capacity(request.pool, start) >=
                                                    static_cast<double>(awaited_permits);
    auto const decision =
        is_pause_enough ? admission_decision::wait : admission.queue.decide(deadlines, rate, start);
    auto const until_soft_deadline =
        std::chrono::duration_cast<milliseconds>(deadlines.soft_start_deadline - now);
    log_line(log_level::info, "no_place")
        .field("request", request.request_id)
        .field("pool", request.pool)
        .field("answer", decision == admission_decision::wait ? "wait" : "refuse")
        .field("waiting", static_cast<std::uint64_t>(admission.queue.size()))
        .field("place_every_ms", std::chrono::duration_cast<milliseconds>(rate.release_interval).count())
        .field("in_time_ms", until_soft_deadline.count())
        .write();
    m_state.counters.add(counter::queue_waits);
    if (decision == admission_decision::refuse) {
        return false;
    }
    auto const queued = std::make_shared<waiter>();
    notifier.set_handler([queued] { queued->changed.notify_all(); });
    admission.queue.push(deadlines, queued);
    grant_available_permits(request.pool);
    std::unique_lock lock(queued->mutex);
    while (!queued->granted && !notifier.is_interrupted()) {
        auto const poll_time = std::chrono::steady_clock::now();
        bool const is_late = poll_time >= deadlines.soft_start_deadline;
        if (poll_time >= deadlines.hard_start_deadline ||
            (is_late && admission.queue.has_on_time_waiter(poll_time)) ||
            is_paused_too_long(request, poll_time)) {
            break;
        }
        // In-flight counts of other instances expire and pauses of targets end without an event, so available
        // capacity is polled.
        auto const next_poll = poll_time + capacity_poll_interval;
        queued->changed.wait_until(lock, std::min(next_poll, is_late ? deadlines.hard_start_deadline
                                                                     : deadlines.soft_start_deadline));
        grant_available_permits(request.pool);
    }
    notifier.clear_handler();
    if (queued->granted) {
        return true;
    }
    admission.queue.remove(queued);
    return false;
}

void admission_controller::grant_available_permits(std::string const& pool) {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    auto& admission = found->second;
    auto const now = std::chrono::steady_clock::now();
    while (admission.queue.size() > 0 && m_state.selector.available_capacity(pool, now) >=
                                             static_cast<double>(admission.reserved_permits + 1)) {
        auto const next = admission.queue.pop(now);
        (*next)->granted = true;
        ++admission.reserved_permits;
        (*next)->changed.notify_all();
    }
}

bool admission_controller::has_queued_requests(std::string const& pool) const {
    auto const found = m_pools.find(pool);
    return found != m_pools.end() && found->second.queue.size() > 0;
}

} // namespace pomelospread
