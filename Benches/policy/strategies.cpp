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
    bool uses_homes = true;
    bool shares_loads = true;
    bool relays = true;             ///< An instance that is not a home passes requests to one.
    std::uint32_t home_setting = 0; ///< Number of homes; 0: by the pool's size, as in the tables.
};

/// Runs the decision code of the entry instance: each simulated instance has its own target_pool,
/// customer_fair_queue and peer_loads.
class system_strategy final : public strategy {
public:
    system_strategy(simulation const& sim, std::uint64_t seed, system_options options)
        : m_options(options), m_random(seed) {
        m_row.name = "pool";
        m_row.slots_per_target = sim.slots();
        for (std::uint32_t i = 0; i < sim.target_count(); ++i) {
            m_row.targets.push_back(
                {.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)}, .zone = "z"});
        }
        for (std::uint32_t i = 0; i < fleet_parameters::instances; ++i) {
            m_instances.push_back(std::make_unique<instance_state>(m_row, m_options.policy));
        }
        m_row.homes = m_options.home_setting;
        m_home_count = static_cast<std::uint32_t>(home_count(m_row));
        assign_home_ranks(0);
    }

    [[nodiscard]] std::uint32_t homes_per_pool() const override {
        return m_options.uses_homes ? m_home_count : 0;
    }

    void on_request_arrived(simulation& sim, std::uint32_t request) override {
        m_requests.resize(request + 1);
        auto const here = sim.serving_instance(request);
        bool const at_home = std::ranges::find(m_homes, here) != m_homes.end();
        if (!m_options.relays || !m_options.uses_homes || at_home) {
            serve(sim, request);
            return;
        }
        auto const home = m_homes[m_random() % m_homes.size()];
        sim.reassign(request, home, fleet_parameters::inter_instance_latency_s);
        sim.schedule(sim.now() + fleet_parameters::inter_instance_latency_s,
                     [this, &sim, request] { serve(sim, request); });
    }

    void serve(simulation& sim, std::uint32_t request) {
        auto& instance = instance_of(sim, request);
        instance.targets->retry_budget().deposit();
        instance.targets->hedge_budget().deposit();
        if (instance.waiting.size() > 0 || !try_send(sim, request, std::nullopt, false)) {
            static_cast<void>(instance.waiting.push("caller", to_nanoseconds(sim.now()), request));
        }
    }

    void on_response(simulation& sim, attempt_handle const& handle, bool failed) override {
        auto& instance = instance_of(sim, handle->request);
        auto const already_completed = sim.is_completed(handle->request);
        if (!handle->cancelled) {
            release_permit(sim, handle, failed ? exchange_result::failed : exchange_result::succeeded);
        }
        if (!already_completed && failed && instance.targets->retry_budget().try_withdraw() &&
            try_send(sim, handle->request, handle->target, false)) {
            ++sim.result().retries;
        } else if (!already_completed && (!failed || !has_other_attempt(handle))) {
            complete_request(sim, handle, failed);
        }
        serve_waiting(sim, instance);
    }

    void set_target_present(simulation& sim, std::uint32_t target, bool present) override {
        // A target that joins does so by a table change: each pool is rebuilt from its predecessor. A
        // target that leaves is only marked as leaving.
        auto const address = endpoint{"127.0.0.1", static_cast<std::uint16_t>(target + 1)};
        for (auto& row_target : m_row.targets) {
            if (row_target.address == address) {
                row_target.leaving = !present;
            }
        }
        for (auto& instance : m_instances) {
            if (present) {
                // The predecessor has no state of the target, as if it was not in the table before.
                auto previous_row = m_row;
                std::erase_if(previous_row.targets,
                              [&](auto const& row_target) { return row_target.address == address; });
                target_pool const previous(previous_row, "z", m_options.policy, to_nanoseconds(sim.now()),
                                           instance->targets.get());
                instance->targets = std::make_unique<target_pool>(m_row, "z", m_options.policy,
                                                                  to_nanoseconds(sim.now()), &previous);
            } else {
                instance->targets->set_leaving_until(target, nanoseconds::max());
            }
        }
    }

    void on_instance_failed(simulation&, std::uint32_t instance) override {
        m_failed_instances[instance] = true;
        assign_home_ranks(m_home_count);
    }

private:
    struct instance_state {
        instance_state(pool_row const& row, target_pool_policy const& policy)
            : targets(std::make_unique<target_pool>(row, "z", policy, nanoseconds::zero())),
              waiting(1'000'000), peers(row.targets.size()) {}
        std::unique_ptr<target_pool> targets;
        customer_fair_queue<std::uint32_t> waiting;
        peer_loads peers;
        bool report_is_scheduled = false;
        virtual_time last_reported_at = -1;
    };

    struct request_attempts {
        std::array<attempt_handle, 2> attempts;
    };

    void assign_home_ranks(std::uint32_t first_home) {
        m_homes.clear();
        m_homes.push_back(first_home);
        for (std::uint32_t i = 1; i < m_home_count; ++i) {
            m_homes.push_back(i);
        }
        for (std::uint32_t i = 0; i < m_homes.size() && m_options.uses_homes; ++i) {
            m_instances[m_homes[i]]->targets->set_home_rank({.rank = i, .home_count = m_home_count});
        }
    }

    instance_state& instance_of(simulation& sim, std::uint32_t request) {
        return *m_instances[sim.serving_instance(request)];
    }

    bool try_send(simulation& sim, std::uint32_t request, std::optional<std::uint32_t> excluded, bool hedge) {
        auto& instance = instance_of(sim, request);
        auto const permit = instance.targets->try_acquire(to_nanoseconds(sim.now()), m_random, excluded);
        if (!permit) {
            return false;
        }
        auto handle = sim.send(request, permit->target);
        handle->permit_index = permit->permit_index;
        m_requests[request].attempts[hedge ? 1 : 0] = handle;
        if (!hedge && !excluded) {
            schedule_hedge(sim, request, permit->target);
        }
        schedule_load_update(sim, sim.serving_instance(request));
        return true;
    }

    void schedule_hedge(simulation& sim, std::uint32_t request, std::uint32_t first_target) {
        auto& instance = instance_of(sim, request);
        auto const delay = instance.targets->hedge_delay();
        if (!m_options.hedges || delay == nanoseconds::zero()) {
            return;
        }
        sim.schedule(sim.now() + static_cast<double>(delay.count()) / 1e9,
                     [this, &sim, request, first_target] {
                         auto& current_instance = instance_of(sim, request);
                         if (sim.is_completed(request) || m_requests[request].attempts[1] != nullptr ||
                             current_instance.waiting.size() > 0 ||
                             !current_instance.targets->hedge_budget().try_withdraw()) {
                             return;
                         }
                         if (try_send(sim, request, first_target, true)) {
                             ++sim.result().hedges;
                         }
                     });
    }

    void release_permit(simulation& sim, attempt_handle const& handle, exchange_result result) {
        auto& instance = instance_of(sim, handle->request);
        instance.targets->release({.target = handle->target,
                                   .permit_index = handle->permit_index,
                                   .started_at = to_nanoseconds(handle->started_at)},
                                  to_nanoseconds(sim.now()), result);
        schedule_load_update(sim, sim.serving_instance(handle->request));
    }

    [[nodiscard]] bool has_other_attempt(attempt_handle const& handle) const {
        return std::ranges::any_of(m_requests[handle->request].attempts, [&](attempt_handle const& other) {
            return other != nullptr && other != handle && !other->finished && !other->cancelled;
        });
    }

    void complete_request(simulation& sim, attempt_handle const& handle, bool failed) {
        sim.complete(handle->request, failed);
        for (auto const& other : m_requests[handle->request].attempts) {
            if (other != nullptr && other != handle && !other->cancelled && !other->finished) {
                sim.cancel(other);
                release_permit(sim, other, exchange_result::cancelled);
            }
        }
        m_requests[handle->request].attempts = {};
    }

    void serve_waiting(simulation& sim, instance_state& instance) {
        while (auto const request = instance.waiting.pop()) {
            if (!try_send(sim, *request, std::nullopt, false)) {
                static_cast<void>(instance.waiting.push("caller", nanoseconds::zero(), *request));
                return;
            }
        }
    }

    /// Schedules a load update with the in-flight counts to the homes and to the instances that sent theirs.
    void schedule_load_update(simulation& sim, std::uint32_t sender) {
        auto& instance = *m_instances[sender];
        if (!m_options.shares_loads || instance.report_is_scheduled) {
            return;
        }
        instance.report_is_scheduled = true;
        auto const report_at =
            std::max(sim.now(), instance.last_reported_at + fleet_parameters::min_load_update_interval_s);
        sim.schedule(report_at, [this, &sim, sender] { send_load_update(sim, sender); });
    }

    void send_load_update(simulation& sim, std::uint32_t sender) {
        auto& instance = *m_instances[sender];
        instance.report_is_scheduled = false;
        instance.last_reported_at = sim.now();
        std::vector<std::uint16_t> counts;
        for (std::uint32_t i = 0; i < instance.targets->size(); ++i) {
            counts.push_back(static_cast<std::uint16_t>(instance.targets->in_flight(i)));
        }
        auto receivers = m_homes;
        for (auto const peer : instance.peers.sending_peers()) {
            receivers.push_back(static_cast<std::uint32_t>(peer - 1));
        }
        std::ranges::sort(receivers);
        receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
        for (auto const receiver_index : receivers) {
            if (receiver_index == sender || m_failed_instances[receiver_index]) {
                continue;
            }
            sim.schedule(sim.now() + fleet_parameters::inter_instance_latency_s,
                         [this, &sim, sender, receiver_index, counts] {
                             auto& receiver = *m_instances[receiver_index];
                             receiver.peers.update(sender + 1, counts, to_nanoseconds(sim.now()));
                             receiver.peers.expire(to_nanoseconds(sim.now()));
                             receiver.peers.apply_to(*receiver.targets);
                             serve_waiting(sim, receiver);
                         });
        }
    }

    system_options m_options;
    std::mt19937_64 m_random;
    pool_row m_row;
    std::vector<std::unique_ptr<instance_state>> m_instances;
    std::uint32_t m_home_count = 0;
    std::vector<std::uint32_t> m_homes;
    std::array<bool, fleet_parameters::instances> m_failed_instances{};
    std::vector<request_attempts> m_requests;
};

/// `change` turns off or changes one part of the strategy.
template<auto change>
std::unique_ptr<strategy> make_system(simulation const& sim, std::uint64_t seed) {
    system_options options;
    change(options);
    return std::make_unique<system_strategy>(sim, seed + 1, options);
}

constexpr auto unchanged = [](system_options&) {};
constexpr auto no_hedges = [](system_options& options) { options.hedges = false; };
constexpr auto no_homes = [](system_options& options) {
    options.hedges = false;
    options.uses_homes = false;
    options.shares_loads = false;
};
constexpr auto no_homes_but_shared_loads = [](system_options& options) {
    options.hedges = false;
    options.uses_homes = false;
};
constexpr auto no_shared_loads = [](system_options& options) {
    options.hedges = false;
    options.shares_loads = false;
};
constexpr auto no_straggler_avoidance = [](system_options& options) {
    options.hedges = false;
    options.policy.straggler_avoidance = false;
};
constexpr auto no_own_subset = [](system_options& options) {
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
constexpr auto full_peer_capacity_weight = [](system_options& options) {
    options.hedges = false;
    options.policy.peer_capacity_weight = 1;
};
constexpr auto no_relays = [](system_options& options) {
    options.hedges = false;
    options.relays = false;
};
constexpr auto one_home = [](system_options& options) {
    options.hedges = false;
    options.home_setting = 1;
};
constexpr auto two_homes = [](system_options& options) {
    options.hedges = false;
    options.home_setting = 2;
};
constexpr auto three_homes = [](system_options& options) {
    options.hedges = false;
    options.home_setting = 3;
};
constexpr auto no_queueing_at_targets = [](system_options& options) {
    options.hedges = false;
    options.policy.max_queued_per_target = 0;
};
constexpr auto two_queued_per_target = [](system_options& options) {
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
    named_strategy{"without-homes-shared", make_system<no_homes_but_shared_loads>},
    named_strategy{"without-peer-counts", make_system<no_shared_loads>},
    named_strategy{"without-straggler-avoidance", make_system<no_straggler_avoidance>},
    named_strategy{"without-own-share", make_system<no_own_subset>},
    named_strategy{"without-ejection", make_system<no_ejection>},
    named_strategy{"without-slow-start", make_system<no_slow_start>},
    named_strategy{"full-peer-limit", make_system<full_peer_capacity_weight>},
    named_strategy{"without-relays", make_system<no_relays>},
    named_strategy{"one-home", make_system<one_home>},
    named_strategy{"two-homes", make_system<two_homes>},
    named_strategy{"three-homes", make_system<three_homes>},
    named_strategy{"without-queue-place", make_system<no_queueing_at_targets>},
    named_strategy{"two-queue-places", make_system<two_queued_per_target>},
};

} // namespace

std::span<named_strategy const> all_strategies() {
    return strategies;
}
