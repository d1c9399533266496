#include "gateway/forwarding_state.hpp"

#include <algorithm>
#include <utility>

namespace pomelospread {

void extra_attempt_budgets::set_part(rate_part part, boot_clock::time_point valid_until) {
    m_part_valid_until = valid_until;
    m_holds_part = part.is_held && boot_clock::now() < valid_until;
    set_instance_burst(m_holds_part ? std::max(1.0, m_fleet_burst / static_cast<double>(part.divisor)) : 1.0);
}

void extra_attempt_budgets::set_instance_burst(double burst) {
    if (m_instance_burst == burst) {
        return;
    }
    m_instance_burst = burst;
    for (auto& [pool, budget] : m_budgets) {
        budget->set_burst(m_instance_burst);
    }
}

bool extra_attempt_budgets::try_withdraw(std::string const& pool) {
    if (budget_for(pool).try_withdraw()) {
        return true;
    }
    m_refused_at = boot_clock::now();
    return false;
}

bool extra_attempt_budgets::needs_part() const {
    return has_burst() && !m_holds_part && m_refused_at != boot_clock::time_point{} &&
           boot_clock::now() - m_refused_at < refusal_validity;
}

ratio_budget& extra_attempt_budgets::budget_for(std::string const& pool) {
    // Also when the process was suspended since the part was set.
    if (m_holds_part && boot_clock::now() >= m_part_valid_until) {
        m_holds_part = false;
        set_instance_burst(1.0);
    }
    auto& budget = m_budgets[pool];
    if (budget == nullptr) {
        budget = std::make_unique<ratio_budget>(m_ratio, m_instance_burst);
    }
    return *budget;
}

forwarding_state::forwarding_state(gateway_settings initial_settings, forwarding_wire_format const& format,
                                   instance_id self)
    : settings(std::move(initial_settings)), wire_format(format),
      routes(std::make_shared<route_index const>(routing_tables{})),
      selector(settings.zone, {.cold_targets = {.fleet_slack = settings.cold_target_slack}}),
      extra_attempts(settings.extra_attempt_ratio, settings.extra_attempt_burst),
      hedges(settings.hedge_ratio, settings.extra_attempt_burst),
      rates({.fleet_slack = settings.workspace_rate_slack}),
      account(self, settings.journal_capacity, counters) {}

void forwarding_state::set_homes(bool knows_fleet, std::size_t max_homes) {
    max_homes_per_host = max_homes;
    selector.set_knows_homes(knows_fleet);
}

void forwarding_state::set_part(rate_part part, boot_clock::time_point valid_until,
                                std::vector<endpoint> holders) {
    extra_attempts.set_part(part, valid_until);
    hedges.set_part(part, valid_until);
    rates.set_part(part, valid_until, std::move(holders));
}

double forwarding_state::probes_per_second(std::string const& target) const {
    return settings.fleet_probes_per_target_per_second * selector.probe_share(target, max_homes_per_host);
}

} // namespace pomelospread
