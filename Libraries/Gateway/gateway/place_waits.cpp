#include "gateway/place_waits.hpp"

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

struct place_waits::waiter {
    bool granted = false;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
};

bool place_waits::acquire(claim const& wanted, caller_watch& watch) {
    auto& places = m_pools[wanted.pool];
    auto const now = std::chrono::steady_clock::now();
    if (places.queue.size() == 0 &&
        m_state.board.free_places(wanted.pool, now) >= static_cast<double>(places.admitted + 1)) {
        ++places.admitted;
        return true;
    }
    auto const& limits = wanted.limits;
    auto const own = std::max(1U, m_state.board.pool_in_flight(wanted.pool));
    admission_pace const pace{.place_every = m_state.board.present_work(wanted.pool) / own};
    auto const answer = places.queue.judge(limits, pace, now);
    auto const in_time = std::chrono::duration_cast<milliseconds>(limits.latest_in_time - now);
    log_line(log_level::info, "no_place")
        .field("request", wanted.request_id)
        .field("pool", wanted.pool)
        .field("answer", answer == admission_answer::wait ? "wait" : "refuse")
        .field("waiting", static_cast<std::uint64_t>(places.queue.size()))
        .field("place_every_ms", std::chrono::duration_cast<milliseconds>(pace.place_every).count())
        .field("in_time_ms", in_time.count())
        .write();
    m_state.counters.add(counter::queue_waits);
    if (answer == admission_answer::refuse) {
        return false;
    }
    auto const place = std::make_shared<waiter>();
    watch.set_listener([place] { place->changed.notify_all(); });
    places.queue.push(limits, place);
    wake(wanted.pool);
    std::unique_lock lock(place->mutex);
    while (!place->granted && !watch.is_gone()) {
        auto const at = std::chrono::steady_clock::now();
        bool const is_late = at >= limits.latest_in_time;
        if (at >= limits.latest_useful || (is_late && places.queue.has_timely(at))) {
            break;
        }
        // Counts of other instances age without an event, so room is looked for now and then.
        auto const step = at + place_poll;
        place->changed.wait_until(lock,
                                  std::min(step, is_late ? limits.latest_useful : limits.latest_in_time));
        wake(wanted.pool);
    }
    watch.clear_listener();
    if (place->granted) {
        return true;
    }
    places.queue.remove(place);
    return false;
}

void place_waits::wake(std::string const& pool) {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return;
    }
    auto& places = found->second;
    auto const now = std::chrono::steady_clock::now();
    while (places.queue.size() > 0 &&
           m_state.board.free_places(pool, now) >= static_cast<double>(places.admitted + 1)) {
        auto const next = places.queue.pop(now);
        (*next)->granted = true;
        ++places.admitted;
        (*next)->changed.notify_all();
    }
}

bool place_waits::has_waiting(std::string const& pool) const {
    auto const found = m_pools.find(pool);
    return found != m_pools.end() && found->second.queue.size() > 0;
}

} // namespace pomelospread
