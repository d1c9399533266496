// The requests that wait for available capacity of a pool, and the decision whether another request may wait.
#pragma once

#include "coordination/group_shares.hpp"
#include "coordination/group_turns.hpp"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace pomelospread {

/// The groups that a request is counted in; see `group_shares`.
struct request_groups {
    std::uint32_t route = 0;     ///< Hash of the route's name.
    std::uint32_t workspace = 0; ///< Hash of the workspace's name; 0: none.
};

/// The priority of a request and the times by which it has to start.
struct admission_deadlines {
    using time_point = std::chrono::steady_clock::time_point;

    std::int64_t priority = 0; ///< 0 is the most urgent.
    request_groups groups;
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

/// Requests that can still be on time are served first: those of underserved routes and workspaces, then the
/// others in order of priority, last those of workspaces over their usual rate. Workspaces of equal rank have
/// turns, so that a burst of one delays mostly its own requests. Under overload the late ones get only the
/// remaining capacity, instead of making every request late (compare adaptive LIFO: Maurer, "Fail at Scale",
/// ACM Queue 2015). Not thread-safe. `Waiter` is the owner's handle of a request.
template<class Waiter>
class admission_queue {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Decides whether a request for which there is no available capacity should wait.
    [[nodiscard]] admission_decision decide(admission_deadlines const& deadlines, capacity_release_rate rate,
                                            time_point now) const {
        auto const workspace = deadlines.groups.workspace;
        if (now >= deadlines.hard_start_deadline || m_waiting.size() >= max_queue_length ||
            (workspace != 0 && m_turns.waiting(workspace) >= max_workspace_length)) {
            return admission_decision::refuse;
        }
        auto const ahead = on_time_requests_ahead(deadlines, now);
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
        m_turns.add(deadlines.groups.workspace);
        m_waiting.push_back({.deadlines = deadlines, .waiter = std::move(waiter)});
    }

    /// A request of these groups arrived, or was sent to a target for the first time; recorded for every
    /// request, also for those that need not wait.
    void record_arrival(request_groups const& groups, time_point now) {
        m_routes.record_arrival(groups.route, now);
        m_workspaces.record_arrival(groups.workspace, now);
    }
    void record_admission(request_groups const& groups, time_point now) {
        m_routes.record_admission(groups.route, now);
        m_workspaces.record_admission(groups.workspace, now);
    }

    /// Removes and returns the request to serve next.
    [[nodiscard]] std::optional<Waiter> pop(time_point now) {
        auto best = m_waiting.end();
        std::optional<service_order> best_order;
        ranks_at ranks(*this, now);
        for (auto each = m_waiting.begin(); each != m_waiting.end(); ++each) {
            auto const order = order_of(each->deadlines, ranks, now);
            if (!best_order || order < *best_order) {
                best = each;
                best_order = order;
            }
        }
        if (best == m_waiting.end()) {
            return std::nullopt;
        }
        m_turns.serve(best->deadlines.groups.workspace);
        auto waiter = std::move(best->waiter);
        m_waiting.erase(best);
        return waiter;
    }

    /// Removes a request that no longer waits; false when it had been popped.
    bool remove(Waiter const& waiter) {
        auto const found = std::ranges::find(m_waiting, waiter, &entry::waiter);
        if (found == m_waiting.end()) {
            return false;
        }
        m_turns.remove(found->deadlines.groups.workspace);
        m_waiting.erase(found);
        return true;
    }

    /// Whether a request waits that can still be on time.
    [[nodiscard]] bool has_on_time_waiter(time_point now) const {
        return std::ranges::any_of(m_waiting,
                                   [now](auto const& each) { return !is_late(each.deadlines, now); });
    }
    [[nodiscard]] std::size_t size() const noexcept { return m_waiting.size(); }

private:
    static constexpr std::size_t max_queue_length = 2000;
    /// One workspace's requests do not fill the queue.
    static constexpr std::size_t max_workspace_length = max_queue_length / 2;

    enum class service_level : std::uint8_t {
        underserved,
        regular,
        over_usual, ///< Of a workspace that sends many times its usual requests.
    };

    struct service_rank {
        service_level level = service_level::regular;
        std::int64_t urgency = 0;
        auto operator<=>(service_rank const&) const = default;
    };

    /// The lowest is served next. Requests without a workspace have equal turns.
    struct service_order {
        bool is_late = false;
        service_rank rank;
        std::uint64_t turn = 0;
        time_point hard_start_deadline;
        auto operator<=>(service_order const&) const = default;
    };

    struct entry {
        admission_deadlines deadlines;
        Waiter waiter;
    };

    static bool is_late(admission_deadlines const& deadlines, time_point now) {
        return deadlines.soft_start_deadline < now;
    }

    [[nodiscard]] service_level level_of(request_groups const& groups, time_point now) const {
        if (groups.workspace != 0) {
            if (m_workspaces.is_underserved(groups.workspace, now)) {
                return service_level::underserved;
            }
            // Checked before the route: a burst that makes its route underserved must not profit from it.
            if (m_workspaces.is_over_usual(groups.workspace, now)) {
                return service_level::over_usual;
            }
        }
        return m_routes.is_underserved(groups.route, now) ? service_level::underserved
                                                          : service_level::regular;
    }

    /// The ranks at one time. Each group's level is computed once, since many requests wait of the same
    /// groups.
    class ranks_at {
    public:
        ranks_at(admission_queue const& queue, time_point now) : m_queue(queue), m_now(now) {}

        [[nodiscard]] service_rank of(admission_deadlines const& deadlines) {
            auto const& groups = deadlines.groups;
            auto const key = std::uint64_t{groups.route} << 32U | groups.workspace;
            auto const [found, added] = m_levels.try_emplace(key);
            if (added) {
                found->second = m_queue.level_of(groups, m_now);
            }
            auto const level = found->second;
            // Without workspaces, priorities have no effect among underserved routes: a route of low priority
            // would stay below its share while a more urgent one is underserved too.
            bool const has_urgency = level != service_level::underserved || groups.workspace != 0;
            return {.level = level, .urgency = has_urgency ? deadlines.priority : 0};
        }

    private:
        admission_queue const& m_queue;
        time_point m_now;
        std::unordered_map<std::uint64_t, service_level> m_levels;
    };

    [[nodiscard]] service_order order_of(admission_deadlines const& deadlines, ranks_at& ranks,
                                         time_point now) const {
        return {.is_late = is_late(deadlines, now),
                .rank = ranks.of(deadlines),
                .turn = m_turns.turn_of(deadlines.groups.workspace),
                .hard_start_deadline = deadlines.hard_start_deadline};
    }

    /// How many waiting requests that can be on time would be served before another one with these deadlines.
    /// Of another workspace with equal rank, at most one is for each turn of the request's own workspace.
    [[nodiscard]] std::int64_t on_time_requests_ahead(admission_deadlines const& deadlines,
                                                      time_point now) const {
        ranks_at ranks(*this, now);
        auto const own_rank = ranks.of(deadlines);
        std::int64_t ahead = 0;
        std::int64_t own_turns = 1;
        std::map<std::uint32_t, std::int64_t> others_of_equal_rank;
        for (auto const& each : m_waiting) {
            if (is_late(each.deadlines, now)) {
                continue;
            }
            auto const rank = ranks.of(each.deadlines);
            if (rank > own_rank) {
                continue;
            }
            if (each.deadlines.groups.workspace == deadlines.groups.workspace) {
                ++ahead;
                own_turns += rank == own_rank ? 1 : 0;
            } else if (rank < own_rank) {
                ++ahead;
            } else {
                ++others_of_equal_rank[each.deadlines.groups.workspace];
            }
        }
        for (auto const& [workspace, count] : others_of_equal_rank) {
            ahead += std::min(count, own_turns);
        }
        return ahead;
    }

    std::list<entry> m_waiting;
    group_shares m_routes;
    group_shares m_workspaces{workspace_share_policy};
    group_turns<std::uint32_t> m_turns; ///< Of the workspaces.
};

} // namespace pomelospread
