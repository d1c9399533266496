#include "baselines.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace {

/// Base of the strategies that send each request at once; they differ only in `choose`.
class immediate_strategy : public strategy {
public:
    explicit immediate_strategy(simulation const& sim)
        : m_present(sim.target_count(), true),
          m_own_in_flight(fleet_parameters::instances, std::vector<std::uint32_t>(sim.target_count())),
          m_reported_loads(fleet_parameters::instances, std::vector<std::uint32_t>(sim.target_count())) {}

    void on_request_arrived(simulation& sim, std::uint32_t request) override {
        auto const instance = sim.serving_instance(request);
        auto const target = choose(sim, instance);
        ++m_own_in_flight[instance][target];
        sim.send(request, target);
    }

    void on_response(simulation& sim, attempt_handle const& handle, bool failed) override {
        auto const instance = sim.serving_instance(handle->request);
        --m_own_in_flight[instance][handle->target];
        // This is the load when the response arrives. A real report would be one network latency older, since
        // it leaves the target with the response.
        m_reported_loads[instance][handle->target] = sim.requests_at_target(handle->target);
        sim.complete(handle->request, failed);
    }

    void set_target_present(simulation&, std::uint32_t target, bool present) override {
        m_present[target] = present;
    }

protected:
    virtual std::uint32_t choose(simulation& sim, std::uint32_t instance) = 0;

    std::uint32_t random_present_target(simulation& sim) {
        for (;;) {
            auto const target = static_cast<std::uint32_t>(sim.random()() % sim.target_count());
            if (m_present[target]) {
                return target;
            }
        }
    }

    std::vector<bool> m_present;
    std::vector<std::vector<std::uint32_t>> m_own_in_flight;
    std::vector<std::vector<std::uint32_t>> m_reported_loads;
};

class random_strategy final : public immediate_strategy {
public:
    using immediate_strategy::immediate_strategy;

private:
    std::uint32_t choose(simulation& sim, std::uint32_t) override { return random_present_target(sim); }
};

class round_robin_strategy final : public immediate_strategy {
public:
    using immediate_strategy::immediate_strategy;

private:
    std::uint32_t choose(simulation& sim, std::uint32_t instance) override {
        auto& next = m_next.try_emplace(instance, instance).first->second;
        do {
            next = (next + 1) % static_cast<std::uint32_t>(sim.target_count());
        } while (!m_present[next]);
        return next;
    }

    std::map<std::uint32_t, std::uint32_t> m_next;
};

class least_own_strategy final : public immediate_strategy {
public:
    using immediate_strategy::immediate_strategy;

private:
    std::uint32_t choose(simulation& sim, std::uint32_t instance) override {
        std::uint32_t best = random_present_target(sim);
        for (std::uint32_t target = 0; target < sim.target_count(); ++target) {
            if (m_present[target] && m_own_in_flight[instance][target] < m_own_in_flight[instance][best]) {
                best = target;
            }
        }
        return best;
    }
};

/// The power of two choices (Mitzenmacher, 2001), by the loads that responses reported.
class two_choices_strategy final : public immediate_strategy {
public:
    using immediate_strategy::immediate_strategy;

private:
    std::uint32_t choose(simulation& sim, std::uint32_t instance) override {
        auto const first = random_present_target(sim);
        auto const second = random_present_target(sim);
        return m_reported_loads[instance][first] <= m_reported_loads[instance][second] ? first : second;
    }
};

/// One queue for the fleet that sees the current state of every slot: a bound, since no instance has this
/// information.
class omniscient_strategy final : public strategy {
public:
    explicit omniscient_strategy(simulation const& sim) : m_present(sim.target_count(), true) {}

    void on_request_arrived(simulation& sim, std::uint32_t request) override {
        // The network latency passes before the request is queued, so that no free slot waits for it.
        sim.schedule(sim.now() + fleet_parameters::one_way_latency_s, [this, &sim, request] {
            m_waiting.push_back(request);
            send_waiting(sim);
        });
    }

    void on_response(simulation& sim, attempt_handle const& handle, bool failed) override {
        sim.complete(handle->request, failed);
    }

    void on_slot_freed(simulation& sim) override { send_waiting(sim); }

    void set_target_present(simulation& sim, std::uint32_t target, bool present) override {
        m_present[target] = present;
        send_waiting(sim);
    }

private:
    void send_waiting(simulation& sim) {
        while (!m_waiting.empty()) {
            auto const target = least_loaded_free_target(sim);
            if (!target) {
                return;
            }
            auto const request = m_waiting.front();
            m_waiting.pop_front();
            sim.send_without_latency(request, *target);
        }
    }

    std::optional<std::uint32_t> least_loaded_free_target(simulation& sim) const {
        std::optional<std::uint32_t> best;
        std::uint32_t least = sim.slots();
        for (std::uint32_t target = 0; target < sim.target_count(); ++target) {
            if (m_present[target] && !sim.is_failing_fast(target) && sim.requests_at_target(target) < least) {
                least = sim.requests_at_target(target);
                best = target;
            }
        }
        return best;
    }

    std::vector<bool> m_present;
    std::deque<std::uint32_t> m_waiting;
};

} // namespace

std::unique_ptr<strategy> make_random(simulation const& sim, std::uint64_t) {
    return std::make_unique<random_strategy>(sim);
}

std::unique_ptr<strategy> make_round_robin(simulation const& sim, std::uint64_t) {
    return std::make_unique<round_robin_strategy>(sim);
}

std::unique_ptr<strategy> make_least_own_in_flight(simulation const& sim, std::uint64_t) {
    return std::make_unique<least_own_strategy>(sim);
}

std::unique_ptr<strategy> make_two_choices(simulation const& sim, std::uint64_t) {
    return std::make_unique<two_choices_strategy>(sim);
}

std::unique_ptr<strategy> make_omniscient_queue(simulation const& sim, std::uint64_t) {
    return std::make_unique<omniscient_strategy>(sim);
}
