// The state that the components of a forwarding instance share.
#pragma once

#include "base/metrics.hpp"
#include "coordination/load_change_collector.hpp"
#include "coordination/ratio_budget.hpp"
#include "coordination/target_selector.hpp"
#include "entry/account_recorder.hpp"
#include "gateway/forwarding_wire_format.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/workspace_rates.hpp"
#include "state/rcu_snapshot.hpp"
#include "state/route_index.hpp"

#include <map>
#include <memory>
#include <string>

namespace pomelospread {

/// The budgets of extra attempts (retries and hedges), one per pool. The ratio holds for the fleet when each
/// instance keeps it over its own requests. The burst is divided among the homes, since other instances
/// receive hardly any requests; one of those can accumulate a single extra attempt.
class extra_attempt_budgets {
public:
    extra_attempt_budgets(double ratio, double fleet_burst) : m_ratio(ratio), m_fleet_burst(fleet_burst) {}

    /// The number of homes that share the burst when this instance is one of them, else 0.
    void set_home_count(std::size_t count);
    [[nodiscard]] ratio_budget& budget_for(std::string const& pool);

private:
    double m_ratio;
    double m_fleet_burst;
    double m_instance_burst = 1.0;
    std::map<std::string, std::unique_ptr<ratio_budget>, std::less<>> m_budgets;
};

/// One per instance; used only on its thread, except for the counters.
struct forwarding_state {
    forwarding_state(gateway_settings initial_settings, forwarding_wire_format const& format,
                     instance_id self);

    gateway_settings settings;
    forwarding_wire_format const& wire_format;
    /// Set by a planned stop: no response can be sent later.
    std::chrono::steady_clock::time_point serving_ends_at = std::chrono::steady_clock::time_point::max();
    rcu_snapshot<route_index> routes; ///< Version 0 until tables were read.
    /// Sets this instance's share of what the fleet divides among the homes; none before the fleet is known.
    void set_fleet_share(bool knows_fleet, bool is_home, std::size_t max_homes);
    /// This instance's share of the load probe rate of a target.
    [[nodiscard]] double probes_per_second(std::string const& target) const;

    target_selector selector;
    std::size_t max_homes_per_host = 1; ///< Largest number of homes that the callers of one host have.
    extra_attempt_budgets extra_attempts;
    /// The limit of hedges alone; a hedge is also withdrawn from `extra_attempts`. The burst is the same.
    extra_attempt_budgets hedges;
    workspace_rates rates;
    load_change_collector pending_load_changes;
    metrics counters;
    account_recorder account;
};

} // namespace pomelospread
