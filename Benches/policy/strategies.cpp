#include "strategies.hpp"

#include "baselines.hpp"

#include "coordination/customer_fair_queue.hpp"
#include "coordination/peer_loads.hpp"

#include <algorithm>
#include <array>
#include <map>

using namespace pomelospread;

namespace {

nanoseconds to_nanoseconds(virtual_time seconds) {
    return nanoseconds(static_cast<std::int64_t>(seconds * 1e9) + 1);
}

struct system_options {
    target_pool_policy policy;
    bool hedges = true;
    bool homes = true;
    bool shares_loads = true;
    bool relays = true;            ///< An instance that is no home passes lookups on to one.
    std::uint32_t homes_asked = 0; ///< 0 lets the pool's size decide, as in the tables.
};

/// The entry instance's decision code: target_pool, customer_fair_queue and peer_loads, one set an instance.
class system_strategy final : public strategy {
public:
    system_strategy(simulation const& world, std::uint64_t seed, system_options options)
        : m_options(options), m_random(seed) {
        m_row.name = "pool";
        m_row.slots_per_target = world.slots();
        for (std::uint32_t i = 0; i < world.target_count(); ++i) {
            m_row.targets.push_back(
                {.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}, .zone = "z"});
        }
        for (std::uint32_t i = 0; i < fleet_parameters::instances; ++i) {
            m_instances.push_back(std::make_unique<instance_state>(m_row, m_options.policy));
        }
        m_row.homes = m_options.homes_asked;
        m_home_count = static_cast<std::uint32_t>(home_count(m_row));
        rank_homes(0);
    }

    [[nodiscard]] std::uint32_t homes_per_pool() const override { return m_options.homes ? m_home_count : 0; }

    void on_request_arrived(simulation& world, std::uint32_t request) override {
        m_requests.resize(request + 1);
        auto const here = world.serving_instance(request);
        bool const at_home = std::ranges::find(m_homes, here) != m_homes.end();
        if (!m_options.relays || !m_options.homes || at_home) {
            serve(world, request);
            return;
        }
        auto const home = m_homes[m_random() % m_homes.size()];
        world.reassign(request, home, fleet_parameters::inter_instance_latency_s);
        world.schedule(world.now() + fleet_parameters::inter_instance_latency_s,
                       [this, &world, request] { serve(world, request); });
    }

    void serve(simulation& world, std::uint32_t request) {
        auto& instance = instance_of(world, request);
        instance.targets->retry_budget().deposit();
        instance.targets->hedge_budget().deposit();
        if (instance.waiting.size() > 0 || !try_send(world, request, std::nullopt, false)) {
            static_cast<void>(instance.waiting.push("caller", to_nanoseconds(world.now()), request));
        }
    }

    void on_response(simulation& world, attempt_handle const& copy, bool failed) override {
        auto& instance = instance_of(world, copy->request);
        auto const late = world.is_completed(copy->request);
        if (!copy->cancelled) {
            give_back(world, copy, failed ? exchange_result::failed : exchange_result::answered);
        }
        if (!late && failed && instance.targets->retry_budget().try_withdraw() &&
            try_send(world, copy->request, copy->target, false)) {
            ++world.result().retries;
        } else if (!late && (!failed || !has_other_try(copy))) {
            accept(world, copy, failed);
        }
        serve_waiting(world, instance);
    }

    void set_target_present(simulation& world, std::uint32_t target, bool present) override {
        // A table change: the row is replaced and the pools are rebuilt from their predecessors.
        auto const address = endpoint{"127.0.0.1", static_cast<std::uint16_t>(target + 1)};
        for (auto& row_target : m_row.targets) {
            if (row_target.address == address) {
                row_target.leaving = !present;
            }
        }
        for (auto& instance : m_instances) {
            if (present) {
                // A target that was not in the table before is new to the instances.
                auto without = m_row;
                std::erase_if(without.targets, [&](auto const& one) { return one.address == address; });
                target_pool const previous(without, "z", m_options.policy, to_nanoseconds(world.now()),
                                           instance->targets.get());
                instance->targets = std::make_unique<target_pool>(m_row, "z", m_options.policy,
                                                                  to_nanoseconds(world.now()), &previous);
            } else {
                instance->targets->set_leaving_until(target, nanoseconds::max());
            }
        }
    }

    void on_instance_failed(simulation&, std::uint32_t instance) override {
        m_dead[instance] = true;
        rank_homes(m_home_count);
    }

private:
    struct instance_state {
        instance_state(pool_row const& row, target_pool_policy const& policy)
            : targets(std::make_unique<target_pool>(row, "z", policy, nanoseconds::zero())),
              waiting(1'000'000), peers(row.targets.size()) {}
        std::unique_ptr<target_pool> targets;
        customer_fair_queue<std::uint32_t> waiting;
        peer_loads peers;
        bool telling = false;
        virtual_time told = -1;
    };

    struct request_tries {
        std::array<attempt_handle, 2> copies;
    };

    void rank_homes(std::uint32_t first) {
        m_homes.clear();
        m_homes.push_back(first);
        for (std::uint32_t i = 1; i < m_home_count; ++i) {
            m_homes.push_back(i);
        }
        for (std::uint32_t i = 0; i < m_homes.size() && m_options.homes; ++i) {
            m_instances[m_homes[i]]->targets->set_home_rank({.rank = i, .home_count = m_home_count});
        }
    }

    instance_state& instance_of(simulation& world, std::uint32_t request) {
        return *m_instances[world.serving_instance(request)];
    }

    bool try_send(simulation& world, std::uint32_t request, std::optional<std::uint32_t> excluded,
                  bool hedge) {
        auto& instance = instance_of(world, request);
        auto const ticket = instance.targets->try_acquire(to_nanoseconds(world.now()), m_random, excluded);
        if (!ticket) {
            return false;
        }
        auto copy = world.send(request, ticket->target);
        copy->permit_index = ticket->permit_index;
        m_requests[request].copies[hedge ? 1 : 0] = copy;
        if (!hedge && !excluded) {
            plan_hedge(world, request, ticket->target);
        }
        tell_loads(world, world.serving_instance(request));
        return true;
    }

    void plan_hedge(simulation& world, std::uint32_t request, std::uint32_t first) {
        auto& instance = instance_of(world, request);
        auto const delay = instance.targets->hedge_delay();
        if (!m_options.hedges || delay == nanoseconds::zero()) {
            return;
        }
        world.schedule(
            world.now() + static_cast<double>(delay.count()) / 1e9, [this, &world, request, first] {
                auto& at_instance = instance_of(world, request);
                if (world.is_completed(request) || m_requests[request].copies[1] != nullptr ||
                    at_instance.waiting.size() > 0 || !at_instance.targets->hedge_budget().try_withdraw()) {
                    return;
                }
                if (try_send(world, request, first, true)) {
                    ++world.result().hedges;
                }
            });
    }

    void give_back(simulation& world, attempt_handle const& copy, exchange_result result) {
        auto& instance = instance_of(world, copy->request);
        instance.targets->release({.target = copy->target,
                                   .permit_index = copy->permit_index,
                                   .started_at = to_nanoseconds(copy->started_at)},
                                  to_nanoseconds(world.now()), result);
        tell_loads(world, world.serving_instance(copy->request));
    }

    [[nodiscard]] bool has_other_try(attempt_handle const& copy) const {
        return std::ranges::any_of(m_requests[copy->request].copies, [&](attempt_handle const& other) {
            return other != nullptr && other != copy && !other->finished && !other->cancelled;
        });
    }

    void accept(simulation& world, attempt_handle const& copy, bool failed) {
        world.complete(copy->request, failed);
        for (auto const& other : m_requests[copy->request].copies) {
            if (other != nullptr && other != copy && !other->cancelled && !other->finished) {
                world.cancel(other);
                give_back(world, other, exchange_result::cancelled);
            }
        }
        m_requests[copy->request].copies = {};
    }

    void serve_waiting(simulation& world, instance_state& instance) {
        while (auto const request = instance.waiting.pop()) {
            if (!try_send(world, *request, std::nullopt, false)) {
                static_cast<void>(instance.waiting.push("caller", nanoseconds::zero(), *request));
                return;
            }
        }
    }

    /// In-flight counts go to the homes and to whoever told counts itself.
    void tell_loads(simulation& world, std::uint32_t from) {
        auto& instance = *m_instances[from];
        if (!m_options.shares_loads || instance.telling) {
            return;
        }
        instance.telling = true;
        auto const when = std::max(world.now(), instance.told + fleet_parameters::min_load_report_interval_s);
        world.schedule(when, [this, &world, from] { send_loads(world, from); });
    }

    void send_loads(simulation& world, std::uint32_t from) {
        auto& instance = *m_instances[from];
        instance.telling = false;
        instance.told = world.now();
        std::vector<std::uint16_t> counts;
        for (std::uint32_t i = 0; i < instance.targets->size(); ++i) {
            counts.push_back(static_cast<std::uint16_t>(instance.targets->in_flight(i)));
        }
        auto receivers = m_homes;
        for (auto const teller : instance.peers.reporting_peers()) {
            receivers.push_back(static_cast<std::uint32_t>(teller - 1));
        }
        std::ranges::sort(receivers);
        receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
        for (auto const to : receivers) {
            if (to == from || m_dead[to]) {
                continue;
            }
            world.schedule(world.now() + fleet_parameters::inter_instance_latency_s,
                           [this, &world, from, to, counts] {
                               auto& receiver = *m_instances[to];
                               receiver.peers.update(from + 1, counts, to_nanoseconds(world.now()));
                               receiver.peers.expire(to_nanoseconds(world.now()));
                               receiver.peers.apply_to(*receiver.targets);
                               serve_waiting(world, receiver);
                           });
        }
    }

    system_options m_options;
    std::mt19937_64 m_random;
    pool_row m_row;
    std::vector<std::unique_ptr<instance_state>> m_instances;
    std::uint32_t m_home_count = 0;
    std::vector<std::uint32_t> m_homes;
    std::array<bool, fleet_parameters::instances> m_dead{};
    std::vector<request_tries> m_requests;
};

/// `change` takes one part out of the policy.
template<auto change>
std::unique_ptr<strategy> make_system(simulation const& world, std::uint64_t seed) {
    system_options options;
    change(options);
    return std::make_unique<system_strategy>(world, seed + 1, options);
}

constexpr auto unchanged = [](system_options&) {};
constexpr auto no_hedges = [](system_options& options) { options.hedges = false; };
constexpr auto no_homes = [](system_options& options) {
    options.hedges = false;
    options.homes = false;
    options.shares_loads = false;
};
constexpr auto no_homes_shared = [](system_options& options) {
    options.hedges = false;
    options.homes = false;
};
constexpr auto no_shared_loads = [](system_options& options) {
    options.hedges = false;
    options.shares_loads = false;
};
constexpr auto no_straggler = [](system_options& options) {
    options.hedges = false;
    options.policy.straggler_avoidance = false;
};
constexpr auto no_own_share = [](system_options& options) {
    options.hedges = false;
    options.policy.prefer_own_subset = false;
};
constexpr auto no_ejection = [](system_options& options) {
    options.hedges = false;
    options.policy.outlier_ejection = false;
};
constexpr auto no_slow_start = [](system_options& options) {
    options.hedges = false;
    options.policy.slow_start = false;
};
constexpr auto full_peer_limit = [](system_options& options) {
    options.hedges = false;
    options.policy.peer_capacity_weight = 1;
};
constexpr auto no_relays = [](system_options& options) {
    options.hedges = false;
    options.relays = false;
};
constexpr auto one_home = [](system_options& options) {
    options.hedges = false;
    options.homes_asked = 1;
};
constexpr auto two_homes = [](system_options& options) {
    options.hedges = false;
    options.homes_asked = 2;
};
constexpr auto three_homes = [](system_options& options) {
    options.hedges = false;
    options.homes_asked = 3;
};
constexpr auto no_queue_place = [](system_options& options) {
    options.hedges = false;
    options.policy.max_queued_per_target = 0;
};
constexpr auto two_queue_places = [](system_options& options) {
    options.hedges = false;
    options.policy.max_queued_per_target = 2;
};

constexpr std::array strategies{
    named_strategy{"random", make_random, true},
    named_strategy{"round-robin", make_round_robin, true},
    named_strategy{"least-own", make_least_own_in_flight, true},
    named_strategy{"two-choices", make_two_choices, true},
    named_strategy{"omniscient-queue", make_omniscient_queue, true},
    named_strategy{"system", make_system<unchanged>},
    named_strategy{"system-without-hedges", make_system<no_hedges>},
    named_strategy{"without-homes", make_system<no_homes>},
    named_strategy{"without-homes-shared", make_system<no_homes_shared>},
    named_strategy{"without-peer-counts", make_system<no_shared_loads>},
    named_strategy{"without-straggler-avoidance", make_system<no_straggler>},
    named_strategy{"without-own-share", make_system<no_own_share>},
    named_strategy{"without-ejection", make_system<no_ejection>},
    named_strategy{"without-slow-start", make_system<no_slow_start>},
    named_strategy{"full-peer-limit", make_system<full_peer_limit>},
    named_strategy{"without-relays", make_system<no_relays>},
    named_strategy{"one-home", make_system<one_home>},
    named_strategy{"two-homes", make_system<two_homes>},
    named_strategy{"three-homes", make_system<three_homes>},
    named_strategy{"without-queue-place", make_system<no_queue_place>},
    named_strategy{"two-queue-places", make_system<two_queue_places>},
};

} // namespace

std::span<named_strategy const> all_strategies() {
    return strategies;
}
