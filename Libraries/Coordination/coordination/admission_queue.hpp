// Requests that wait at the entry for a place at a pool, and whether one more should wait at all.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <list>
#include <optional>

namespace pomelospread {

/// What the queue knows of a request.
struct admission_deadlines {
    using time_point = std::chrono::steady_clock::time_point;

    std::int64_t priority = 0;      ///< 0 is the most urgent.
    time_point soft_start_deadline; ///< A start after this is late.
    time_point hard_start_deadline; ///< A start after this cannot be answered any more.
};

/// How fast places come free for this instance.
struct capacity_release_rate {
    std::chrono::nanoseconds release_interval{}; ///< Zero while unknown.
};

enum class admission_decision : std::uint8_t {
    wait,
    refuse, ///< It would most likely be late or not served; the caller is told at once.
};

/// Those that can still be in time go first, the most urgent of them before others; under overload the rest
/// gets what is left, instead of making everyone late (compare adaptive LIFO: Maurer, "Fail at Scale", ACM
/// Queue 2015). Not thread-safe. `Waiter` is the owner's handle of a request.
template<class Waiter>
class admission_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Whether a request that finds no free place should wait.
    [[nodiscard]] admission_decision decide(admission_deadlines const& claim, capacity_release_rate pace,
                                            time_point now) const {
        if (now >= claim.hard_start_deadline || m_waiting.size() >= max_queue_length) {
            return admission_decision::refuse;
        }
        auto const ahead = std::ranges::count_if(m_waiting, [&](auto const& each) {
            return each.claim.soft_start_deadline >= now && each.claim.priority <= claim.priority;
        });
        if (now + pace.release_interval * (ahead + 1) <= claim.soft_start_deadline) {
            return admission_decision::wait;
        }
        // It would be late. It waits only when places are likely to be left for it.
        auto const all = static_cast<std::int64_t>(m_waiting.size()) + 1;
        bool const is_backlog = ahead > 0;
        auto const half = (claim.hard_start_deadline - now) / 2;
        return is_backlog || pace.release_interval * all > half ? admission_decision::refuse
                                                                : admission_decision::wait;
    }

    void push(admission_deadlines const& claim, Waiter waiter) {
        m_waiting.push_back({.claim = claim, .waiter = std::move(waiter)});
    }

    /// Takes the request that a free place is given to.
    [[nodiscard]] std::optional<Waiter> pop(time_point now) {
        auto const best = std::ranges::min_element(m_waiting, [now](entry const& a, entry const& b) {
            bool const late_a = a.claim.soft_start_deadline < now;
            bool const late_b = b.claim.soft_start_deadline < now;
            if (late_a != late_b) {
                return late_b;
            }
            if (a.claim.priority != b.claim.priority) {
                return a.claim.priority < b.claim.priority;
            }
            return a.claim.hard_start_deadline < b.claim.hard_start_deadline;
        });
        if (best == m_waiting.end()) {
            return std::nullopt;
        }
        auto waiter = std::move(best->waiter);
        m_waiting.erase(best);
        return waiter;
    }

    /// Removes a waiter that gave up; false when it had been taken.
    bool remove(Waiter const& waiter) {
        return std::erase_if(m_waiting, [&](entry const& each) { return each.waiter == waiter; }) > 0;
    }

    /// Whether others wait that can still be in time.
    [[nodiscard]] bool has_on_time_waiter(time_point now) const {
        return std::ranges::any_of(m_waiting,
                                   [now](auto const& each) { return each.claim.soft_start_deadline >= now; });
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    static constexpr std::size_t max_queue_length = 2000;

    struct entry {
        admission_deadlines claim;
        Waiter waiter;
    };
    std::list<entry> m_waiting;
};

} // namespace pomelospread
