#include "base/random.hpp"
#include "coordination/admission_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using time_point = route_shares::time_point;
using std::chrono::milliseconds;

/// A route as callers send it to one pool.
struct load {
    std::uint32_t route;
    std::int64_t priority;
    double per_second;
    milliseconds target_latency;
    milliseconds deadline;
};

struct overload {
    char const* name;
    std::vector<load> loads;
    std::size_t slots; ///< Requests that the pool runs at once.
};

/// Work of a request, the same for every route.
constexpr auto work = 250ms;
constexpr auto duration = 30s;
/// Of the pool's requests after the first seconds, in which the counts are filled.
constexpr auto measured_from = 5s;

/// Three routes at one pool: an urgent one, one that can wait long and one that can not.
overload const overloads[] = {
    {"slightly", {{1, 1, 120, 800ms, 2000ms}, {2, 2, 60, 1000ms, 5000ms}, {3, 2, 60, 500ms, 1200ms}}, 50},
    {"twice", {{1, 1, 220, 800ms, 2000ms}, {2, 2, 100, 1000ms, 5000ms}, {3, 2, 120, 500ms, 1200ms}}, 55},
    {"mostly urgent",
     {{1, 1, 400, 800ms, 2000ms}, {2, 2, 40, 1000ms, 5000ms}, {3, 2, 40, 500ms, 1200ms}},
     60},
    {"three times",
     {{1, 0, 300, 800ms, 2000ms}, {2, 1, 300, 1000ms, 5000ms}, {3, 3, 300, 500ms, 1200ms}},
     75},
};

struct service {
    double arrived = 0;
    double served = 0;
};

/// Plays the load on one queue with virtual time: callers that are refused do not return.
class played_overload {
public:
    explicit played_overload(overload const& shape) : m_shape(shape) {
        for (auto const& each : shape.loads) {
            schedule_arrival(each, m_start);
        }
        while (!m_events.empty() && m_events.begin()->first < m_start + duration) {
            auto const [time, event] = *m_events.begin();
            m_events.erase(m_events.begin());
            if (event == nullptr) {
                --m_running;
            } else {
                arrive(*event, time);
            }
            start_waiting(time);
        }
    }

    [[nodiscard]] double served_share(std::uint32_t route) const {
        auto const& value = m_services.at(route);
        return value.served / value.arrived;
    }
    [[nodiscard]] double total_served_share() const {
        service total;
        for (auto const& [route, value] : m_services) {
            total.arrived += value.arrived;
            total.served += value.served;
        }
        return total.served / total.arrived;
    }

private:
    void schedule_arrival(load const& source, time_point now) {
        std::exponential_distribution<double> gap(source.per_second);
        m_events.emplace(now + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                   std::chrono::duration<double>(gap(m_random))),
                         &source);
    }

    void arrive(load const& source, time_point now) {
        schedule_arrival(source, now);
        admission_deadlines const deadlines{.priority = source.priority,
                                            .route = source.route,
                                            .soft_start_deadline = now + source.target_latency - work,
                                            .hard_start_deadline = now + source.deadline - work};
        m_queue.record_arrival(source.route, now);
        if (now >= m_start + measured_from) {
            m_services[source.route].arrived += 1;
        }
        if (m_running < m_shape.slots) {
            start(source, now);
            return;
        }
        capacity_release_rate const rate{.release_interval = work / m_running};
        if (m_queue.decide(deadlines, rate, now) == admission_decision::wait) {
            m_queue.push(deadlines, &source);
        }
    }

    void start_waiting(time_point now) {
        while (m_running < m_shape.slots) {
            auto const next = m_queue.pop(now);
            if (!next) {
                return;
            }
            start(**next, now);
        }
    }

    void start(load const& source, time_point now) {
        ++m_running;
        m_queue.record_admission(source.route, now);
        m_events.emplace(now + work, nullptr);
        if (now >= m_start + measured_from) {
            m_services[source.route].served += 1;
        }
    }

    overload const& m_shape;
    random_source m_random{20261204};
    time_point m_start{100s};
    std::multimap<time_point, load const*> m_events; ///< Without a load: a request ends.
    admission_queue<load const*> m_queue;
    std::size_t m_running = 0;
    std::map<std::uint32_t, service> m_services;
};

} // namespace

TEST_GROUP(route_share_counts) {
    route_shares shares;
    time_point now{100s};

    void record(std::uint32_t route, int arrived, int admitted) {
        for (int i = 0; i < arrived; ++i) {
            shares.record_arrival(route, now);
        }
        for (int i = 0; i < admitted; ++i) {
            shares.record_admission(route, now);
        }
    }
};

TEST(route_share_counts, a_route_that_is_admitted_less_than_half_as_often_is_underserved) {
    record(1, 100, 80);
    record(2, 100, 20);
    CHECK_FALSE(shares.is_underserved(1, now));
    CHECK(shares.is_underserved(2, now));
    record(2, 0, 30);
    CHECK_FALSE(shares.is_underserved(2, now));
}

TEST(route_share_counts, unknown_routes_and_few_requests_say_nothing) {
    record(1, 100, 80);
    record(2, 2, 0);
    CHECK_FALSE(shares.is_underserved(2, now));
    CHECK_FALSE(shares.is_underserved(3, now));
}

TEST(route_share_counts, an_overload_is_forgotten) {
    record(1, 100, 80);
    record(2, 100, 0);
    now += 30s;
    record(1, 100, 100);
    record(2, 100, 100);
    CHECK_FALSE(shares.is_underserved(2, now));
}

TEST_GROUP(overloaded_pools){};

TEST(overloaded_pools, no_route_is_served_less_than_half_as_often_as_all_requests) {
    constexpr double sampling_error = 0.05;
    for (auto const& shape : overloads) {
        played_overload const played(shape);
        for (auto const& each : shape.loads) {
            CHECK_TEXT(played.served_share(each.route) >= played.total_served_share() * 0.5 - sampling_error,
                       shape.name);
        }
    }
}

TEST(overloaded_pools, a_more_urgent_route_is_served_no_less_than_a_less_urgent_one) {
    constexpr double sampling_error = 0.05;
    for (auto const& shape : overloads) {
        played_overload const played(shape);
        for (auto const& urgent : shape.loads) {
            for (auto const& other : shape.loads) {
                CHECK_TEXT(urgent.priority >= other.priority ||
                               played.served_share(urgent.route) >=
                                   played.served_share(other.route) - sampling_error,
                           shape.name);
            }
        }
    }
}
