// The requests that wait for available capacity of a pool, and the decision whether another request may wait.
#pragma once

#include "coordination/route_shares.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <tuple>

namespace pomelospread {

/// The priority of a request and the times by which it has to start.
struct admission_deadlines {
    using time_point = std::chrono::steady_clock::time_point;

    std::int64_t priority = 0;      ///< 0 is the most urgent.
    std::uint32_t route = 0;        ///< Stands for the request's route; see `route_shares`.
    time_point soft_start_deadline; ///< A later start misses the target latency.
    time_point hard_start_deadline; ///< A later start leaves no time for a response before the deadline.
};

/// How often a request of this instance ends, so that a waiting one can start.
struct capacity_release_rate {
    std::chrono::nanoseconds release_interval{}; ///< Mean time between two such ends; zero while unknown.
};

enum class admission_decision : std::uint8_t {
    wait,
    refuse, ///< It would most likely be late or not be served, so it is refused at once.
};

/// Requests that can still be on time are served first: those of underserved routes, then the others in order
/// of priority. Under overload the late ones get only the remaining capacity, instead of making every request
/// late (compare adaptive LIFO: Maurer, "Fail at Scale", ACM Queue 2015). Not thread-safe. `Waiter` is the
/// owner's handle of a request.
template<class Waiter>
class admission_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Decides whether a request for which there is no available capacity should wait.
    [[nodiscard]] admission_decision decide(admission_deadlines const& deadlines, capacity_release_rate rate,
                                            time_point now) const {
        if (now >= deadlines.hard_start_deadline || m_waiting.size() >= max_queue_length) {
            return admission_decision::refuse;
        }
        auto const own_rank = service_rank(deadlines, now);
        auto const ahead = std::ranges::count_if(m_waiting, [&](auto const& each) {
            return !is_late(each.deadlines, now) && service_rank(each.deadlines, now) <= own_rank;
        });
        if (now + rate.release_interval * (ahead + 1) <= deadlines.soft_start_deadline) {
            return admission_decision::wait;
        }
        // The request would be late. It waits only when no on-time request is ahead of it and the complete
        // queue is expected to be served within half of the time that remains for it to start.
        auto const queue_length = static_cast<std::int64_t>(m_waiting.size()) + 1;
        bool const is_behind_others = ahead > 0;
        auto const half_remaining_time = (deadlines.hard_start_deadline - now) / 2;
        return is_behind_others || rate.release_interval * queue_length > half_remaining_time
                   ? admission_decision::refuse
                   : admission_decision::wait;
    }

    void push(admission_deadlines const& deadlines, Waiter waiter) {
        m_waiting.push_back({.deadlines = deadlines, .waiter = std::move(waiter)});
    }

    /// A request of this route arrived, or was sent to a target for the first time; recorded for every
    /// request, also for those that need not wait.
    void record_arrival(std::uint32_t route, time_point now) { m_shares.record_arrival(route, now); }
    void record_admission(std::uint32_t route, time_point now) { m_shares.record_admission(route, now); }

    /// Removes and returns the request to serve next.
    [[nodiscard]] std::optional<Waiter> pop(time_point now) {
        auto const best = std::ranges::min_element(m_waiting, {}, [&](entry const& each) {
            return std::tuple(is_late(each.deadlines, now), service_rank(each.deadlines, now),
                              each.deadlines.hard_start_deadline);
        });
        if (best == m_waiting.end()) {
            return std::nullopt;
        }
        auto waiter = std::move(best->waiter);
        m_waiting.erase(best);
        return waiter;
    }

    /// Removes a request that no longer waits; false when it had been popped.
    bool remove(Waiter const& waiter) {
        return std::erase_if(m_waiting, [&](entry const& each) { return each.waiter == waiter; }) > 0;
    }

    /// Whether a request waits that can still be on time.
    [[nodiscard]] bool has_on_time_waiter(time_point now) const {
        return std::ranges::any_of(m_waiting,
                                   [now](auto const& each) { return !is_late(each.deadlines, now); });
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    static constexpr std::size_t max_queue_length = 2000;

    struct entry {
        admission_deadlines deadlines;
        Waiter waiter;
    };

    static bool is_late(admission_deadlines const& deadlines, time_point now) {
        return deadlines.soft_start_deadline < now;
    }
    /// The order among requests that can be on time: underserved routes first, then by priority.
    [[nodiscard]] std::int64_t service_rank(admission_deadlines const& deadlines, time_point now) const {
        constexpr std::int64_t underserved_rank = -1;
        return m_shares.is_underserved(deadlines.route, now) ? underserved_rank : deadlines.priority;
    }

    std::list<entry> m_waiting;
    route_shares m_shares;
};

} // namespace pomelospread
