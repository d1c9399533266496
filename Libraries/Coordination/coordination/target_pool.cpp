#include "coordination/target_pool.hpp"

#include <algorithm>
#include <cmath>

namespace pomelospread {

namespace {

/// Score of one request in flight. An overdue request adds as much as three more in flight; the other
/// penalties only order targets of equal load.
constexpr std::uint32_t load_unit = 64;
constexpr std::uint32_t overdue_penalty = 3 * load_unit;
constexpr std::uint32_t other_subset_penalty = 8;
constexpr std::uint32_t other_zone_penalty = 4;
constexpr std::int64_t no_slow_start = -1;
constexpr std::uint32_t max_full_scan = 64;

} // namespace

std::string_view to_string(choice_reason reason) noexcept {
    switch (reason) {
    case choice_reason::least_in_flight:
        return "least_in_flight";
    case choice_reason::random_tie:
        return "random_tie";
    }
    return "least_in_flight";
}

target_pool::target_pool(pool_row const& row, std::string_view own_zone, target_pool_policy policy,
                         nanoseconds now, target_pool const* previous)
    : m_row(row), m_policy(policy),
      m_permits_per_target(static_cast<std::uint32_t>(std::clamp<std::int64_t>(
          row.slots_per_target + policy.max_queued_per_target, 1, std::int64_t{max_permits_per_target}))),
      m_targets(row.targets.size()), m_shared_state(std::make_shared<shared_pool_state>(policy)) {
    if (previous != nullptr) {
        inherit_state(*previous);
    }
    for (std::size_t i = 0; i < row.targets.size(); ++i) {
        m_is_in_own_zone.push_back(row.targets[i].zone == own_zone ? 1 : 0);
        if (m_targets[i] == nullptr) {
            m_targets[i] = std::make_shared<target_state>();
            bool const joins_existing_pool = policy.slow_start && previous != nullptr;
            m_targets[i]->slow_start_since_ns = joins_existing_pool ? now.count() : no_slow_start;
        }
        m_targets[i]->leaving_until = row.targets[i].leaving ? leaving_by_table : 0;
    }
}

void target_pool::inherit_state(target_pool const& previous) {
    m_shared_state = previous.m_shared_state;
    m_home_rank = previous.m_home_rank.load();
    for (std::size_t i = 0; i < m_row.targets.size(); ++i) {
        auto const same =
            std::ranges::find(previous.m_row.targets, m_row.targets[i].address, &target_row::address);
        if (same != previous.m_row.targets.end()) {
            m_targets[i] =
                previous.m_targets[static_cast<std::size_t>(same - previous.m_row.targets.begin())];
        }
    }
}

std::optional<target_permit> target_pool::try_acquire(nanoseconds now, random_source& random,
                                                      std::optional<std::uint32_t> excluded) {
    // When acquiring fails, another thread has acquired the permit, so the threads together make progress.
    for (std::size_t round = 0; round < 2 * max_permits_per_target; ++round) {
        auto chosen = best_candidate(now, random, excluded, false);
        if (!chosen) {
            chosen = best_candidate(now, random, excluded, true);
        }
        if (!chosen) {
            return std::nullopt;
        }
        if (auto const index = acquire_permit(*m_targets[chosen->target], now); index) {
            return target_permit{.target = chosen->target,
                                 .permit_index = *index,
                                 .started_at = now,
                                 .reason = chosen->reason};
        }
    }
    return std::nullopt;
}

std::optional<target_pool::candidate> target_pool::best_candidate(nanoseconds now, random_source& random,
                                                                  std::optional<std::uint32_t> excluded,
                                                                  bool ignore_ejection) const {
    std::optional<candidate> best;
    std::uint32_t ties = 0;
    auto const count = static_cast<std::uint32_t>(m_targets.size());
    // The scan of a pool with more than `max_full_scan` targets starts at a random position. It ends after
    // `max_full_scan` targets; if none of them is a candidate, it continues to the first one.
    std::uint32_t const first = count <= max_full_scan ? 0 : static_cast<std::uint32_t>(random() % count);
    for (std::uint32_t seen = 0; seen < count && (seen < max_full_scan || !best); ++seen) {
        auto const i = first + seen < count ? first + seen : first + seen - count;
        auto const& target = *m_targets[i];
        if (i == excluded || target.leaving_until.load(std::memory_order_relaxed) > now.count()) {
            continue;
        }
        if (!ignore_ejection && target.ejected_until.load(std::memory_order_relaxed) > now.count()) {
            continue;
        }
        auto const peers = m_policy.peer_counts ? target.peer_in_flight.load(std::memory_order_relaxed) : 0;
        auto const own = target.own_in_flight.load(std::memory_order_relaxed);
        auto const load = own + peers;
        auto const used_permits = own + static_cast<std::uint32_t>(peers * m_policy.peer_capacity_weight);
        if (used_permits >= permit_limit(target, now) || (best && load * load_unit > best->score)) {
            continue;
        }
        auto const value = score(i, now, load);
        if (!best || value < best->score) {
            best = candidate{.target = i, .score = value};
            ties = 1;
            continue;
        }
        // Reservoir sampling: each of the tied targets is chosen with the same probability.
        if (value == best->score && random() % ++ties == 0) {
            best->target = i;
        }
    }
    if (best) {
        best->reason = ties > 1 ? choice_reason::random_tie : choice_reason::least_in_flight;
    }
    return best;
}

std::uint32_t target_pool::score(std::uint32_t index, nanoseconds now, std::uint32_t load) const {
    auto value = load * load_unit;
    if (m_policy.straggler_avoidance) {
        value += overdue_count(*m_targets[index], now) * overdue_penalty;
    }
    auto const packed_rank = m_home_rank.load(std::memory_order_relaxed);
    auto const homes = static_cast<std::uint32_t>(packed_rank);
    if (m_policy.prefer_own_subset && homes > 1 &&
        index % homes != static_cast<std::uint32_t>(packed_rank >> 32U)) {
        value += other_subset_penalty;
    }
    if (m_policy.zone_preference && m_is_in_own_zone[index] == 0) {
        value += other_zone_penalty;
    }
    return value;
}

std::uint32_t target_pool::permit_limit(target_state const& target, nanoseconds now) const noexcept {
    auto const slow_start_since = target.slow_start_since_ns.load(std::memory_order_relaxed);
    auto const age = now.count() - slow_start_since;
    if (slow_start_since == no_slow_start || age >= m_policy.slow_start_duration.count()) {
        return m_permits_per_target;
    }
    auto const share = static_cast<double>(age) / static_cast<double>(m_policy.slow_start_duration.count());
    return std::clamp(static_cast<std::uint32_t>(std::ceil(share * m_permits_per_target)), 1U,
                      m_permits_per_target);
}

std::uint32_t target_pool::overdue_count(target_state const& target, nanoseconds now) const noexcept {
    if (target.own_in_flight.load(std::memory_order_relaxed) == 0) {
        return 0;
    }
    auto const median = static_cast<double>(m_shared_state->median_latency.value().count());
    if (median == 0) {
        return 0;
    }
    auto const limit = now.count() - static_cast<std::int64_t>(median * m_policy.overdue_factor);
    std::uint32_t count = 0;
    for (std::uint32_t index = 0; index < m_permits_per_target; ++index) {
        auto const started = target.permit_started_at[index].load(std::memory_order_relaxed);
        if (started != free_permit && started < limit) {
            ++count;
        }
    }
    return count;
}

std::optional<std::uint32_t> target_pool::acquire_permit(target_state& target, nanoseconds now) noexcept {
    for (std::uint32_t index = 0; index < m_permits_per_target; ++index) {
        auto expected = free_permit;
        if (target.permit_started_at[index].compare_exchange_strong(
                expected, std::max<std::int64_t>(1, now.count()), std::memory_order_acq_rel)) {
            target.own_in_flight.fetch_add(1, std::memory_order_relaxed);
            return index;
        }
    }
    return std::nullopt;
}

void target_pool::release(target_permit const& permit, nanoseconds now, exchange_result result) noexcept {
    auto& target = *m_targets[permit.target];
    target.own_in_flight.fetch_sub(1, std::memory_order_relaxed);
    target.permit_started_at[permit.permit_index].store(free_permit, std::memory_order_release);
    auto const latency = now - permit.started_at;
    switch (result) {
    case exchange_result::succeeded:
        m_shared_state->median_latency.observe(latency);
        m_shared_state->hedge_latency.observe(latency);
        target.consecutive_failures.store(0, std::memory_order_relaxed);
        break;
    case exchange_result::failed:
        record_failure(target, now);
        break;
    case exchange_result::cancelled:
        // The response would have taken at least this long; ignoring it would hide a slow target.
        m_shared_state->hedge_latency.observe(latency);
        break;
    case exchange_result::refused:
        break;
    }
}

void target_pool::record_failure(target_state& target, nanoseconds now) noexcept {
    auto const failures = target.consecutive_failures.fetch_add(1, std::memory_order_relaxed) + 1;
    if (!m_policy.outlier_ejection || failures < m_policy.ejection_failure_threshold || !can_eject(now)) {
        return;
    }
    target.ejected_until.store((now + m_policy.ejection_duration).count(), std::memory_order_relaxed);
    target.consecutive_failures.store(0, std::memory_order_relaxed);
    if (m_policy.slow_start) {
        target.slow_start_since_ns.store((now + m_policy.ejection_duration).count(),
                                         std::memory_order_relaxed);
    }
}

bool target_pool::can_eject(nanoseconds now) const noexcept {
    auto const ejected = std::ranges::count_if(m_targets, [&](auto const& target) {
        return target->ejected_until.load(std::memory_order_relaxed) > now.count();
    });
    return 2 * (static_cast<std::size_t>(ejected) + 1) <= m_targets.size();
}

void target_pool::set_peer_in_flight(std::uint32_t target, std::uint32_t in_flight) noexcept {
    m_targets[target]->peer_in_flight.store(in_flight, std::memory_order_relaxed);
}

void target_pool::set_home_rank(home_rank rank) noexcept {
    m_home_rank.store((std::uint64_t{rank.rank} << 32U) | std::max(1U, rank.home_count),
                      std::memory_order_relaxed);
}

void target_pool::set_leaving_until(std::uint32_t target, nanoseconds until) noexcept {
    auto& known = m_targets[target]->leaving_until;
    known.store(std::max(known.load(std::memory_order_relaxed), until.count()), std::memory_order_relaxed);
}

nanoseconds target_pool::announced_leaving_remaining(std::uint32_t target, nanoseconds now) const noexcept {
    auto const until = m_targets[target]->leaving_until.load(std::memory_order_relaxed);
    return until == leaving_by_table || until <= now.count() ? nanoseconds::zero() : nanoseconds(until) - now;
}

nanoseconds target_pool::hedge_delay() const noexcept {
    return m_shared_state->hedge_latency.value();
}

std::uint32_t target_pool::in_flight(std::uint32_t target) const noexcept {
    return m_targets[target]->own_in_flight.load(std::memory_order_relaxed);
}

} // namespace pomelospread
