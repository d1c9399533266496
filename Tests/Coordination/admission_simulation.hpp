// Plays the requests of routes and workspaces at one pool through an admission_queue, in virtual time and
// without a network. Callers that are refused do not return.
#pragma once

#include "base/random.hpp"
#include "coordination/admission_queue.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace pomelospread {

/// The requests of one route and workspace, as callers send them to one pool.
struct load {
    std::uint32_t route;
    std::int64_t priority;
    double per_second;
    std::chrono::milliseconds target_latency;
    std::chrono::milliseconds deadline;
    std::uint32_t workspace = 0;
    double burst_multiple = 1; ///< Of `per_second`, during the burst.
};

struct overload {
    char const* name;
    std::vector<load> loads;
    std::size_t slots; ///< Requests that the pool runs at once.
    /// Requests that arrive in this time are counted: after the first seconds, in which the shares' counts
    /// are filled.
    std::chrono::seconds measured_from{5};
    std::chrono::seconds measured_until{30};
    std::chrono::seconds burst_from{30};
    std::chrono::seconds burst_until{35};
};

struct service {
    double arrived = 0;
    double served = 0;
    double on_time = 0; ///< Served within the target latency.

    service& operator+=(service const& other) {
        arrived += other.arrived;
        served += other.served;
        on_time += other.on_time;
        return *this;
    }
    [[nodiscard]] double served_share() const { return served / arrived; }
    [[nodiscard]] double on_time_share() const { return on_time / arrived; }
};

class played_overload {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Work of a request, the same for every route.
    static constexpr std::chrono::milliseconds work{250};

    explicit played_overload(overload const& shape) : m_shape(shape), m_services(shape.loads.size()) {
        for (std::size_t i = 0; i < shape.loads.size(); ++i) {
            // Each load has a generator of its own, so that one load's burst leaves the others' arrivals
            // alone.
            m_random.emplace_back(20261204 + i);
            schedule_arrival(i, m_start);
        }
        while (!m_events.empty() && m_events.begin()->first < m_start + shape.measured_until) {
            auto const [time, load_index] = *m_events.begin();
            m_events.erase(m_events.begin());
            if (load_index == request_ends) {
                --m_running;
            } else {
                arrive(load_index, time);
            }
            start_waiting(time);
        }
    }

    /// What the loads got together for which `is_counted` returns true.
    template<class Predicate>
    [[nodiscard]] service total(Predicate is_counted) const {
        service sum;
        for (std::size_t i = 0; i < m_services.size(); ++i) {
            if (is_counted(m_shape.loads[i])) {
                sum += m_services[i];
            }
        }
        return sum;
    }
    [[nodiscard]] service total() const {
        return total([](load const&) { return true; });
    }
    [[nodiscard]] double served_share(std::uint32_t route) const {
        return total([=](load const& each) { return each.route == route; }).served_share();
    }
    [[nodiscard]] double total_served_share() const { return total().served_share(); }

private:
    static constexpr std::size_t request_ends = ~std::size_t{0};

    struct queued_request {
        std::uint64_t number = 0;
        std::size_t load_index = 0;
        admission_deadlines deadlines;
        bool is_measured = false;
        bool operator==(queued_request const& other) const { return number == other.number; }
    };

    void schedule_arrival(std::size_t load_index, time_point now) {
        auto const& source = m_shape.loads[load_index];
        bool const in_burst = now >= m_start + m_shape.burst_from && now < m_start + m_shape.burst_until;
        std::exponential_distribution<double> gap(source.per_second * (in_burst ? source.burst_multiple : 1));
        m_events.emplace(now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                   std::chrono::duration<double>(gap(m_random[load_index]))),
                         load_index);
    }

    void arrive(std::size_t load_index, time_point now) {
        schedule_arrival(load_index, now);
        auto const& source = m_shape.loads[load_index];
        queued_request const request{
            .number = ++m_last_number,
            .load_index = load_index,
            .deadlines = {.priority = source.priority,
                          .groups = {.route = source.route, .workspace = source.workspace},
                          .soft_start_deadline = now + source.target_latency - work,
                          .hard_start_deadline = now + source.deadline - work},
            .is_measured = now >= m_start + m_shape.measured_from};
        m_queue.record_arrival(request.deadlines.groups, now);
        m_services[load_index].arrived += request.is_measured ? 1 : 0;
        if (m_running < m_shape.slots) {
            start(request, now);
            return;
        }
        capacity_release_rate const rate{.release_interval = work / m_running};
        if (m_queue.decide(request.deadlines, rate, now) == admission_decision::wait) {
            m_queue.push(request.deadlines, request);
        }
    }

    void start_waiting(time_point now) {
        while (m_running < m_shape.slots) {
            auto const next = m_queue.pop(now);
            if (!next) {
                return;
            }
            // Its caller was told before that there was no capacity in time.
            if (now < next->deadlines.hard_start_deadline) {
                start(*next, now);
            }
        }
    }

    void start(queued_request const& request, time_point now) {
        ++m_running;
        m_queue.record_admission(request.deadlines.groups, now);
        m_events.emplace(now + work, request_ends);
        if (request.is_measured) {
            m_services[request.load_index].served += 1;
            m_services[request.load_index].on_time += now <= request.deadlines.soft_start_deadline ? 1 : 0;
        }
    }

    overload const& m_shape;
    std::vector<random_source> m_random;
    time_point m_start{std::chrono::seconds(100)};
    std::multimap<time_point, std::size_t> m_events; ///< Arrivals by their load, and `request_ends`.
    admission_queue<queued_request> m_queue;
    std::size_t m_running = 0;
    std::uint64_t m_last_number = 0;
    std::vector<service> m_services;
};

} // namespace pomelospread
