// What the request path of a forwarding instance works with.
#pragma once

#include "base/metrics.hpp"
#include "coordination/load_change_collector.hpp"
#include "coordination/ratio_budget.hpp"
#include "coordination/target_selector.hpp"
#include "entry/account_recorder.hpp"
#include "gateway/forwarding_wire_format.hpp"
#include "gateway/gateway_settings.hpp"
#include "state/rcu_snapshot.hpp"
#include "state/route_index.hpp"

#include <map>
#include <memory>
#include <string>

namespace pomelospread {

/// Repeats and second tries that an instance may add to a pool's requests. The ratio holds for the fleet when
/// each instance keeps it over its own requests; the slack is shared out over the instances.
class extra_attempt_budgets {
public:
    extra_attempt_budgets(double share, double fleet_burst) : m_ratio(share), m_fleet_burst(fleet_burst) {}

    void set_instance_count(std::size_t count);
    [[nodiscard]] ratio_budget& budget_for(std::string const& pool);

private:
    double m_ratio;
    double m_fleet_burst;
    double m_instance_burst = 1.0;
    std::map<std::string, std::unique_ptr<ratio_budget>, std::less<>> m_budgets;
};

/// One per instance; belongs to its thread, but for the counters.
struct forwarding_state {
    forwarding_state(gateway_settings given, forwarding_wire_format const& names, instance_id self);

    gateway_settings settings;
    forwarding_wire_format const& wire_format;
    rcu_snapshot<route_index> routes; ///< Version 0 until tables are known.
    /// Of one target, by this instance.
    [[nodiscard]] double probes_per_target_per_second() const;

    target_selector selector;
    std::size_t max_homes_per_host = 1; ///< Instances that the callers of one host are sent to.
    extra_attempt_budgets extra_attempts;
    load_change_collector pending_load_changes;
    metrics counters;
    account_recorder account;
};

} // namespace pomelospread
