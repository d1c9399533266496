#include "base/random.hpp"
#include "coordination/admission_queue.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <tuple>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

using time_point = admission_deadlines::time_point;

/// The order of admission before there were workspaces, kept as it was.
class order_without_workspaces {
public:
    struct entry {
        admission_deadlines deadlines;
        int waiter;
    };

    void record(std::uint32_t route, double arrived, double admitted, time_point now) {
        for (auto* const each : {&m_total, &m_routes[route]}) {
            *each = decayed(*each, now);
            each->arrived += arrived;
            each->admitted += admitted;
        }
    }
    [[nodiscard]] admission_decision decide(admission_deadlines const& deadlines,
                                            std::chrono::nanoseconds release, time_point now) const {
        if (now >= deadlines.hard_start_deadline || waiting.size() >= 2000) {
            return admission_decision::refuse;
        }
        auto const own_rank = rank(deadlines, now);
        auto const ahead = std::ranges::count_if(waiting, [&](entry const& each) {
            return each.deadlines.soft_start_deadline >= now && rank(each.deadlines, now) <= own_rank;
        });
        auto const length = static_cast<std::int64_t>(waiting.size()) + 1;
        auto const half_remaining_time = (deadlines.hard_start_deadline - now) / 2;
        bool const is_refused = now + release * (ahead + 1) > deadlines.soft_start_deadline &&
                                (ahead > 0 || release * length > half_remaining_time);
        return is_refused ? admission_decision::refuse : admission_decision::wait;
    }
    [[nodiscard]] std::optional<int> pop(time_point now) {
        auto const best = std::ranges::min_element(waiting, {}, [&](entry const& each) {
            return std::tuple(each.deadlines.soft_start_deadline < now, rank(each.deadlines, now),
                              each.deadlines.hard_start_deadline);
        });
        if (best == waiting.end()) {
            return std::nullopt;
        }
        auto const waiter = best->waiter;
        waiting.erase(best);
        return waiter;
    }

    std::list<entry> waiting;

private:
    struct counts {
        double arrived = 0;
        double admitted = 0;
        time_point updated_at;
    };

    static counts decayed(counts const& value, time_point now) {
        if (now <= value.updated_at) {
            return value;
        }
        std::chrono::duration<double, std::milli> const age = now - value.updated_at;
        auto const factor = std::exp2(-age.count() / 2000.0);
        return {.arrived = value.arrived * factor, .admitted = value.admitted * factor, .updated_at = now};
    }
    [[nodiscard]] std::int64_t rank(admission_deadlines const& deadlines, time_point now) const {
        auto const found = m_routes.find(deadlines.groups.route);
        if (found == m_routes.end()) {
            return deadlines.priority;
        }
        auto const own = decayed(found->second, now);
        auto const total = decayed(m_total, now);
        return own.arrived >= 3.0 && own.admitted * total.arrived < 0.5 * total.admitted * own.arrived
                   ? -1
                   : deadlines.priority;
    }

    counts m_total;
    std::map<std::uint32_t, counts> m_routes;
};

} // namespace

TEST_GROUP(pools_without_workspaces){};

// Guards against any change of decision where no tables declare workspaces.
TEST(pools_without_workspaces, decisions_are_those_of_the_order_by_route_alone) {
    random_source random(20261206);
    auto const below = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
    for (int play = 0; play < 50; ++play) {
        admission_queue<int> queue;
        order_without_workspaces reference;
        time_point now{100s};
        int waits = 0;
        for (int step = 0; step < 2000; ++step) {
            now += std::chrono::microseconds(below(8000));
            auto const route = static_cast<std::uint32_t>(below(4));
            if (below(5) < 2) {
                auto const popped = queue.pop(now);
                CHECK(popped == reference.pop(now));
                if (popped) {
                    queue.record_admission({.route = route}, now);
                    reference.record(route, 0, 1, now);
                }
                continue;
            }
            admission_deadlines const deadlines{
                .priority = route / 2,
                .groups = {.route = route},
                .soft_start_deadline = now + std::chrono::milliseconds(below(300) - 20),
                .hard_start_deadline = now + std::chrono::milliseconds(300 + 100 * below(5))};
            std::chrono::milliseconds const release(1 + below(20));
            queue.record_arrival({.route = route}, now);
            reference.record(route, 1, 0, now);
            auto const decision = queue.decide(deadlines, {.release_interval = release}, now);
            CHECK(decision == reference.decide(deadlines, release, now));
            if (decision == admission_decision::wait) {
                ++waits;
                queue.push(deadlines, step);
                reference.waiting.push_back({deadlines, step});
            }
            if (below(20) == 0 && !reference.waiting.empty()) {
                CHECK(queue.remove(reference.waiting.front().waiter));
                reference.waiting.pop_front();
            }
        }
        CHECK(waits > 100);
    }
}
