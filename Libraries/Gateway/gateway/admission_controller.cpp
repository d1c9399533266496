#include "gateway/admission_controller.hpp"

#include "base/log.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

/// How often a waiting request looks for a place when nothing tells of one.
constexpr auto place_poll = milliseconds(20);

} // namespace

struct admission_controller::waiter {
    bool granted = false;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
};

bool admission_controller::acquire_permit(admission_request const& wanted, disconnect_notifier& watch) {
    auto& places = m_pools[wanted.pool];
    auto const now = std::chrono::steady_clock::now();
    if (places.queue.size() == 0 && m_state.selector.available_capacity(wanted.pool, now) >=
                                        static_cast<double>(places.reserved_permits + 1)) {
        ++places.reserved_permits;
        return true;
    }
    auto const& limits = wanted.deadlines;
    auto const own = std::max(1U, m_state.selector.own_pool_in_flight(wanted.pool));
    capacity_release_rate const pace{.release_interval =
                                         m_state.selector.current_service_time(wanted.pool) / own};
    auto const answer = places.queue.decide(limits, pace, now);
    auto const in_time = std::chrono::duration_cast<milliseconds>(limits.soft_start_deadline - now);
    log_line(log_level::info, "no_place")
        .field("request", wanted.request_id)
        .field("pool", wanted.pool)
        .field("answer", answer == admission_decision::wait ? "wait" : "refuse")
        .field("waiting", static_cast<std::uint64_t>(places.queue.size()))
        .field("place_every_ms", std::chrono::duration_cast<milliseconds>(pace.release_interval).count())
        .field("in_time_ms", in_time.count())
        .write();
    m_state.counters.add(counter::queue_waits);
    if (answer == admission_decision::refuse) {
        return false;
    }
    auto const place = std::make_shared<waiter>();
    watch.set_disconnect_handler([place] { place->changed.notify_all(); });
    places.queue.push(limits, place);
    grant_available_permits(wanted.pool);
    std::unique_lock lock(place->mutex);
    while (!place->granted && !watch.is_disconnected()) {
        auto const at = std::chrono::steady_clock::now();
        bool const is_late = at >= limits.soft_start_deadline;
        if (at >= limits.hard_start_deadline || (is_late && places.queue.has_on_time_waiter(at))) {
            break;
        }
        // Counts of other instances age without an event, so room is looked for now and then.
        auto const step = at + place_poll;
        place->changed.wait_until(
            lock, std::min(step, is_late ? limits.hard_start_deadline : limits.soft_start_deadline));
        grant_available_permits(wanted.pool);
    }
    watch.clear_disconnect_handler();
    if (place->granted) {
        return true;
    }
    places.queue.remove(place);
    return false;
}

void admission_controller::grant_available_permits(std::string const& pool) {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    auto& places = found->second;
    auto const now = std::chrono::steady_clock::now();
    while (places.queue.size() > 0 && m_state.selector.available_capacity(pool, now) >=
                                          static_cast<double>(places.reserved_permits + 1)) {
        auto const next = places.queue.pop(now);
        (*next)->granted = true;
        ++places.reserved_permits;
        (*next)->changed.notify_all();
    }
}

bool admission_controller::has_queued_requests(std::string const& pool) const {
    auto const found = m_pools.find(pool);
    return found != m_pools.end() && found->second.queue.size() > 0;
}

} // namespace pomelospread
