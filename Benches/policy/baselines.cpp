#include "baselines.hpp"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace {

/// A baseline sends each request on at once; it differs in `choose` alone.
class sending_strategy : public strategy {
public:
    explicit sending_strategy(simulation const& world)
        : m_present(world.target_count(), true),
          m_own(fleet_parameters::instances, std::vector<std::uint32_t>(world.target_count())),
          m_reported(fleet_parameters::instances, std::vector<std::uint32_t>(world.target_count())) {}

    void on_request_arrived(simulation& world, std::uint32_t request) override {
        auto const instance = world.serving_instance(request);
        auto const target = choose(world, instance);
        ++m_own[instance][target];
        world.send(request, target);
    }

    void on_response(simulation& world, attempt_handle const& copy, bool failed) override {
        auto const instance = world.serving_instance(copy->request);
        --m_own[instance][copy->target];
        // The report left the target with the answer, so it is one network latency old.
        m_reported[instance][copy->target] = world.requests_at_target(copy->target);
        world.complete(copy->request, failed);
    }

    void set_target_present(simulation&, std::uint32_t target, bool present) override {
        m_present[target] = present;
    }

protected:
    virtual std::uint32_t choose(simulation& world, std::uint32_t instance) = 0;

    std::uint32_t any_present(simulation& world) {
        for (;;) {
            auto const target = static_cast<std::uint32_t>(world.random()() % world.target_count());
            if (m_present[target]) {
                return target;
            }
        }
    }

    std::vector<bool> m_present;
    std::vector<std::vector<std::uint32_t>> m_own;
    std::vector<std::vector<std::uint32_t>> m_reported;
};

class random_strategy final : public sending_strategy {
public:
    using sending_strategy::sending_strategy;

private:
    std::uint32_t choose(simulation& world, std::uint32_t) override { return any_present(world); }
};

class round_robin_strategy final : public sending_strategy {
public:
    using sending_strategy::sending_strategy;

private:
    std::uint32_t choose(simulation& world, std::uint32_t instance) override {
        auto& next = m_next.try_emplace(instance, instance).first->second;
        do {
            next = (next + 1) % static_cast<std::uint32_t>(world.target_count());
        } while (!m_present[next]);
        return next;
    }

    std::map<std::uint32_t, std::uint32_t> m_next;
};

class least_own_strategy final : public sending_strategy {
public:
    using sending_strategy::sending_strategy;

private:
    std::uint32_t choose(simulation& world, std::uint32_t instance) override {
        std::uint32_t best = any_present(world);
        for (std::uint32_t target = 0; target < world.target_count(); ++target) {
            if (m_present[target] && m_own[instance][target] < m_own[instance][best]) {
                best = target;
            }
        }
        return best;
    }
};

/// The power of two choices (Mitzenmacher, 2001) on the loads that answers reported.
class two_choices_strategy final : public sending_strategy {
public:
    using sending_strategy::sending_strategy;

private:
    std::uint32_t choose(simulation& world, std::uint32_t instance) override {
        auto const first = any_present(world);
        auto const second = any_present(world);
        return m_reported[instance][first] <= m_reported[instance][second] ? first : second;
    }
};

/// One queue that sees every slot at once: a limit, since no instance can know this much.
class omniscient_strategy final : public strategy {
public:
    explicit omniscient_strategy(simulation const& world) : m_present(world.target_count(), true) {}

    void on_request_arrived(simulation& world, std::uint32_t request) override {
        // The network's latency is lived through before the queue, so that no slot waits for it.
        world.schedule(world.now() + fleet_parameters::one_way_latency_s, [this, &world, request] {
            m_waiting.push_back(request);
            send_waiting(world);
        });
    }

    void on_response(simulation& world, attempt_handle const& copy, bool failed) override {
        world.complete(copy->request, failed);
    }

    void on_slot_freed(simulation& world) override { send_waiting(world); }

    void set_target_present(simulation& world, std::uint32_t target, bool present) override {
        m_present[target] = present;
        send_waiting(world);
    }

private:
    void send_waiting(simulation& world) {
        while (!m_waiting.empty()) {
            auto const target = freest(world);
            if (!target) {
                return;
            }
            auto const request = m_waiting.front();
            m_waiting.pop_front();
            world.send_without_latency(request, *target);
        }
    }

    std::optional<std::uint32_t> freest(simulation& world) const {
        std::optional<std::uint32_t> best;
        std::uint32_t least = world.slots();
        for (std::uint32_t target = 0; target < world.target_count(); ++target) {
            if (m_present[target] && !world.is_failing_fast(target) &&
                world.requests_at_target(target) < least) {
                least = world.requests_at_target(target);
                best = target;
            }
        }
        return best;
    }

    std::vector<bool> m_present;
    std::deque<std::uint32_t> m_waiting;
};

} // namespace

std::unique_ptr<strategy> make_random(simulation const& world, std::uint64_t) {
    return std::make_unique<random_strategy>(world);
}

std::unique_ptr<strategy> make_round_robin(simulation const& world, std::uint64_t) {
    return std::make_unique<round_robin_strategy>(world);
}

std::unique_ptr<strategy> make_least_own_in_flight(simulation const& world, std::uint64_t) {
    return std::make_unique<least_own_strategy>(world);
}

std::unique_ptr<strategy> make_two_choices(simulation const& world, std::uint64_t) {
    return std::make_unique<two_choices_strategy>(world);
}

std::unique_ptr<strategy> make_omniscient_queue(simulation const& world, std::uint64_t) {
    return std::make_unique<omniscient_strategy>(world);
}
