// The state that the components of a forwarding instance share.
#pragma once

#include "base/boot_clock.hpp"
#include "base/metrics.hpp"
#include "coordination/load_change_collector.hpp"
#include "coordination/rate_division.hpp"
#include "coordination/ratio_budget.hpp"
#include "coordination/target_selector.hpp"
#include "entry/account_recorder.hpp"
#include "gateway/forwarding_wire_format.hpp"
#include "gateway/gateway_settings.hpp"
#include "gateway/workspace_rates.hpp"
#include "state/rcu_snapshot.hpp"
#include "state/route_index.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace pomelospread {

/// The budgets of extra attempts (retries and hedges), one per pool. The ratio holds for the fleet when each
/// instance keeps it over its own requests. The burst is divided among the holders that the platform's store
/// names, since a number of homes that each instance counts for itself would let every group of instances
/// that know only each other have the whole. An instance without a part can accumulate a single extra
/// attempt.
class extra_attempt_budgets {
public:
    extra_attempt_budgets(double ratio, double fleet_burst) : m_ratio(ratio), m_fleet_burst(fleet_burst) {}

    /// Sets this instance's part of the burst, which ends at `valid_until`.
    void set_part(rate_part part, boot_clock::time_point valid_until);
    /// Records a first attempt.
    void deposit(std::string const& pool) { budget_for(pool).deposit(); }
    /// Withdraws one extra attempt; false when the budget has none.
    [[nodiscard]] bool try_withdraw(std::string const& pool);
    /// Extra attempts that can be withdrawn now.
    [[nodiscard]] double balance(std::string const& pool) { return budget_for(pool).balance(); }

    [[nodiscard]] bool has_burst() const noexcept { return m_ratio > 0 && m_fleet_burst > 0; }
    /// Whether an extra attempt was refused recently for want of a part.
    [[nodiscard]] bool needs_part() const;

private:
    /// After a refusal, so long a part is sought.
    static constexpr auto refusal_validity = std::chrono::seconds(5);

    [[nodiscard]] ratio_budget& budget_for(std::string const& pool);
    void set_instance_burst(double burst);

    double m_ratio;
    double m_fleet_burst;
    double m_instance_burst = 1.0;
    bool m_holds_part = false;
    boot_clock::time_point m_part_valid_until{};
    boot_clock::time_point m_refused_at{};
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
    /// Sets what the shares that follow from the known homes depend on; none before the fleet is known.
    void set_homes(bool knows_fleet, std::size_t max_homes);
    /// Sets this instance's part of what the platform's store divides, which ends at `valid_until`, and the
    /// other holders.
    void set_part(rate_part part, boot_clock::time_point valid_until, std::vector<endpoint> holders);
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
