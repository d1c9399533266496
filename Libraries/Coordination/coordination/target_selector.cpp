#include "coordination/target_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace pomelospread {

namespace {

/// Service time that is assumed until a request was measured.
constexpr double default_service_ms = 100.0;
constexpr double service_time_weight = 0.05;
constexpr double mean_slowdown_weight = 0.02;
/// Many targets slow down when they are nearly full: above this share of used slots, the expected service
/// time rises linearly, by `nearly_full_slowdown` at the last slot.
constexpr double nearly_full_slowdown = 0.7;
constexpr double nearly_full_threshold = 0.7;

double to_ms(std::chrono::nanoseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Moves a mean towards a value; the first value becomes the mean.
void update_mean(double& mean, double value, double weight) {
    mean = mean == 0 ? value : mean + weight * (value - mean);
}

/// The share of a value that remains after `age`.
double decayed(std::chrono::nanoseconds age, std::chrono::milliseconds half_life) {
    return age.count() <= 0 ? 1.0 : std::exp2(-to_ms(age) / static_cast<double>(half_life.count()));
}

} // namespace

std::uint32_t target_id_hash(std::string_view id) noexcept {
    return static_cast<std::uint32_t>(XXH3_64bits(id.data(), id.size()));
}

target_selector::target_selector(std::string own_zone, target_selector_policy policy)
    : m_own_zone(std::move(own_zone)), m_policy(policy) {}

void target_selector::set_targets(std::span<listed_target const> targets, time_point now) {
    std::map<std::string, target_state, std::less<>> next;
    for (auto& [name, pool] : m_pools) {
        pool.targets.clear();
    }
    for (auto const& listed : targets) {
        target_state state{.listed = listed, .list_updated_at = now};
        if (auto const known = m_targets.find(listed.id); known != m_targets.end()) {
            auto const& before = known->second;
            bool const same_incarnation = before.listed.started_unix_ms == listed.started_unix_ms &&
                                          before.listed.address == listed.address &&
                                          before.listed.pool == listed.pool;
            if (same_incarnation) {
                state = before;
                state.listed = listed;
                if (before.listed.warm_up_remaining_ms != listed.warm_up_remaining_ms) {
                    state.list_updated_at = now;
                }
            }
        }
        target_exclusions::incarnation_key const incarnation{listed.id, listed.started_unix_ms};
        m_exclusions.record_listed(incarnation, now);
        state.announced_leaving = m_exclusions.is_leaving(incarnation);
        state.paused_until = m_exclusions.paused_until(incarnation);
        state.is_evacuated = m_evacuated_zones.contains(listed.zone);
        next.emplace(listed.id, std::move(state));
    }
    m_exclusions.drop_expired(now);
    m_targets = std::move(next);
    m_id_by_hash.clear();
    for (auto const& [id, state] : m_targets) {
        m_pools[state.listed.pool].targets.push_back(&state);
        m_id_by_hash.emplace(target_id_hash(id), id);
    }
    for (auto& [name, pool] : m_pools) {
        auto const near_targets = std::ranges::count_if(
            pool.targets, [this](auto const* target) { return target->listed.zone == m_own_zone; });
        pool.uses_search =
            static_cast<std::size_t>(near_targets) >= m_policy.search.min_near_targets &&
            std::ranges::all_of(pool.targets, [this](auto const* target) { return has_few_slots(*target); });
    }
}

void target_selector::set_slot_claims(std::string_view pool, endpoint const& self,
                                      std::set<endpoint> const& homes) {
    for (auto& [id, state] : m_targets) {
        if (state.listed.pool == pool) {
            state.slot_claim_rank = pomelospread::slot_claim_rank(id, self, homes);
        }
    }
    m_pools[std::string(pool)].home_count = std::max<std::size_t>(1, homes.size());
}

void target_selector::set_warm_up(std::string_view pool, double requests_per_second,
                                  std::chrono::milliseconds time) {
    auto& state = m_pools[std::string(pool)];
    state.warm_up_requests_per_second = requests_per_second;
    state.warm_up_time = time;
}

void target_selector::set_evacuated_zones(std::set<std::string, std::less<>> zones, time_point now) {
    m_evacuated_zones = std::move(zones);
    for (auto& [id, state] : m_targets) {
        bool const was_evacuated =
            std::exchange(state.is_evacuated, m_evacuated_zones.contains(state.listed.zone));
        if (was_evacuated && !state.is_evacuated) {
            state.cold_until = now + m_pools[state.listed.pool].warm_up_time;
        }
    }
}

std::uint32_t target_selector::claim_rank(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? 0 : found->second.slot_claim_rank;
}

double target_selector::claimed_by_others(target_state const& state, time_point now) const {
    auto const delay = slot_claim_delay(state.slot_claim_rank, m_policy.slot_claims);
    bool const is_claimed =
        !has_few_slots(state) && state.slot_claim_rank > 0 && now - state.load_changed_at < delay;
    return is_claimed ? 1.0 : 0.0;
}

std::string const* target_selector::find_by_hash(std::uint32_t hash) const {
    auto const found = m_id_by_hash.find(hash);
    return found == m_id_by_hash.end() ? nullptr : &found->second;
}

std::uint32_t target_selector::own_in_flight(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? 0 : found->second.in_flight;
}

std::string const* target_selector::pool_of(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? nullptr : &found->second.listed.pool;
}

std::string_view target_selector::zone_of(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found == m_targets.end() ? std::string_view() : found->second.listed.zone;
}

double target_selector::other_in_flight(target_state const& state, time_point now) const {
    auto const inferred = state.reported_at
                              ? state.inferred_other_in_flight *
                                    decayed(now - *state.reported_at, m_policy.inferred_load_half_life)
                              : 0.0;
    return inferred + peers_in_flight(state, now);
}

double target_selector::available_capacity(std::string_view pool, time_point now) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    auto const estimates = estimate_candidates(found->second, {}, now);
    if (estimates.empty()) {
        return 0;
    }
    auto const bests = find_bests(estimates);
    double capacity = 0;
    for (auto const& each : estimates) {
        capacity += is_eligible(each, bests) ? each.available_capacity : 0;
    }
    return capacity;
}

bool target_selector::has_few_slots(target_state const& state) const {
    return state.listed.slots <= m_policy.full_use_max_slots;
}

bool target_selector::is_eligible(candidate_estimate const& value, pool_bests const& bests) const {
    if (value.available_capacity < 1.0) {
        return false;
    }
    if (has_few_slots(*value.target)) {
        return value.expected_ms <= bests.expected_ms * m_policy.max_latency_factor;
    }
    return value.service_ms <= bests.unloaded_ms * m_policy.max_latency_factor &&
           value.failure_rate <= bests.failure_rate + m_policy.max_failure_rate_excess;
}

target_selector::pool_bests target_selector::find_bests(std::span<candidate_estimate const> estimates) {
    return {.expected_ms = least_expected_ms(estimates),
            .unloaded_ms =
                std::ranges::min_element(estimates, {}, &candidate_estimate::unloaded_ms)->unloaded_ms,
            .failure_rate =
                std::ranges::min_element(estimates, {}, &candidate_estimate::failure_rate)->failure_rate};
}

std::uint32_t target_selector::own_pool_in_flight(std::string_view pool) const {
    std::uint32_t sum = 0;
    if (auto const found = m_pools.find(pool); found != m_pools.end()) {
        for (auto const* target : found->second.targets) {
            sum += target->in_flight;
        }
    }
    return sum;
}

std::chrono::nanoseconds target_selector::current_service_time(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(found->second.mean_service_ms * 1e6));
}

double target_selector::peers_in_flight(target_state const& state, time_point now) const {
    double sum = 0;
    for (auto const& each : state.peer_counts) {
        if (now - each.received_at < m_policy.peer_count_ttl) {
            sum += each.in_flight;
        }
    }
    return sum;
}

void target_selector::update_peer_load(std::uint64_t peer, std::string const& id, std::uint32_t in_flight,
                                       std::uint32_t failures, time_point now) {
    auto const found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    auto& state = found->second;
    auto known = std::ranges::find(state.peer_counts, peer, &peer_in_flight::peer);
    if (known == state.peer_counts.end()) {
        std::erase_if(state.peer_counts,
                      [&](auto const& each) { return now - each.received_at >= m_policy.peer_count_ttl; });
        state.peer_counts.push_back({.peer = peer});
        known = std::prev(state.peer_counts.end());
    }
    if (known->in_flight != in_flight) {
        state.load_changed_at = now;
    }
    known->in_flight = in_flight;
    known->received_at = now;
    for (std::uint32_t i = 0; i < std::min(failures, 3U); ++i) {
        update_failure_rate(state, 1.0, now);
    }
}

void target_selector::update_failure_rate(target_state& state, double failure, time_point now) const {
    auto const before = failure_rate(state, now);
    state.failure_rate = before + m_policy.failure_smoothing_factor * (failure - before);
    state.failure_rate_updated_at = now;
}

double target_selector::failure_rate(target_state const& state, time_point now) const {
    return state.failure_rate * decayed(now - state.failure_rate_updated_at, m_policy.failure_half_life);
}

bool target_selector::is_usable(target_state const& state) {
    return !state.disabled && !state.listed.leaving && !state.announced_leaving && !state.is_evacuated;
}

bool target_selector::is_cold(target_state const& state, time_point now) {
    auto const listed_until =
        state.list_updated_at + std::chrono::milliseconds(state.listed.warm_up_remaining_ms);
    return std::max(listed_until, state.cold_until) > now;
}

bool target_selector::is_usable_at(target_state const& state, pool_state const& pool, time_point now) const {
    if (!is_usable(state) || state.paused_until > now) {
        return false;
    }
    return pool.warm_up_requests_per_second <= 0 || !is_cold(state, now) ||
           (m_knows_homes &&
            state.cold_budget.is_available(pool.warm_up_requests_per_second, state.slot_claim_rank,
                                           pool.home_count, m_policy.cold_targets, now));
}

target_selector::candidate_estimate
target_selector::estimate_candidate(target_state const& state, pool_state const& pool, time_point now) const {
    auto const typical_ms = pool.typical_service_ms > 0 ? pool.typical_service_ms : default_service_ms;
    double slowdown = pool.mean_slowdown;
    double const others = other_in_flight(state, now) + claimed_by_others(state, now);
    candidate_estimate estimate{.target = &state};
    if (state.reported_at) {
        auto const age = now - *state.reported_at;
        auto const weight = decayed(age, m_policy.slowdown_half_life);
        slowdown = weight * state.slowdown + (1.0 - weight) * pool.mean_slowdown;
        estimate.report_age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    }
    auto const slots = static_cast<double>(std::max<std::int64_t>(1, state.listed.slots));
    auto const load = state.in_flight + others + 1.0;
    auto const unloaded_service_ms =
        typical_ms * slowdown * (is_cold(state, now) ? m_policy.cold_start_factor : 1.0);
    auto service_ms = unloaded_service_ms;
    auto const fill = std::min(1.0, load / slots);
    if (fill > nearly_full_threshold) {
        service_ms *=
            1.0 + nearly_full_slowdown * (fill - nearly_full_threshold) / (1.0 - nearly_full_threshold);
    }
    auto const queueing_ms = std::max(0.0, load - slots) / slots * typical_ms * pool.mean_slowdown;
    auto const current_failure_rate = failure_rate(state, now);
    auto const latency_ms = state.listed.zone == m_own_zone ? 0.0 : to_ms(m_policy.cross_zone_penalty);
    estimate.unloaded_ms = unloaded_service_ms + latency_ms;
    estimate.service_ms = service_ms + queueing_ms + latency_ms;
    estimate.expected_ms =
        estimate.service_ms + current_failure_rate * m_policy.failure_penalty_factor * typical_ms;
    auto const usable_slots = has_few_slots(state) ? slots : std::floor(slots * m_policy.usable_slot_share);
    estimate.available_capacity = std::max(0.0, usable_slots - state.in_flight - std::round(others));
    estimate.slowdown = slowdown;
    estimate.other_in_flight = others;
    estimate.failure_rate = current_failure_rate;
    return estimate;
}

std::vector<target_selector::candidate_estimate>
target_selector::estimate_candidates(pool_state const& pool, std::span<std::string const> excluded,
                                     time_point now) const {
    std::vector<candidate_estimate> estimates;
    estimates.reserve(pool.targets.size());
    for (auto const* target : pool.targets) {
        if (is_usable_at(*target, pool, now) &&
            std::ranges::find(excluded, target->listed.id) == excluded.end()) {
            estimates.push_back(estimate_candidate(*target, pool, now));
        }
    }
    return estimates;
}

target_choice target_selector::make_choice(candidate_estimate const& value) {
    return {.id = value.target->listed.id,
            .incarnation = value.target->listed.started_unix_ms,
            .address = value.target->listed.address,
            .expected_ms = value.expected_ms,
            .available_capacity = value.available_capacity,
            .slots = value.target->listed.slots,
            .slowdown = value.slowdown,
            .report_age_ms = value.report_age_ms,
            .own_in_flight = value.target->in_flight,
            .other_in_flight = value.other_in_flight,
            .failure_rate = value.failure_rate};
}

double target_selector::least_expected_ms(std::span<candidate_estimate const> estimates) {
    return std::ranges::min_element(estimates, {}, &candidate_estimate::expected_ms)->expected_ms;
}

void target_selector::keep_preferred(std::vector<candidate_estimate>& estimates,
                                     pool_bests const& bests) const {
    auto const is_eligible_candidate = [&](auto const& each) { return is_eligible(each, bests); };
    if (std::ranges::any_of(estimates, is_eligible_candidate)) {
        // At a target with many slots, using the last ones slows down all of its requests, so such a target
        // is dropped unless it is eligible. With few slots, a short wait at a fast target can be better than
        // a free slot at a slow one; there, the expected time alone decides.
        std::erase_if(estimates, [&](auto const& each) {
            return !has_few_slots(*each.target) && !is_eligible_candidate(each);
        });
    }
}

std::optional<target_choice> target_selector::choose(std::string_view pool,
                                                     std::span<std::string const> excluded, time_point now,
                                                     random_source& random) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    auto estimates = estimate_candidates(found->second, excluded, now);
    if (estimates.empty()) {
        return std::nullopt;
    }
    auto const candidates = estimates.size();
    auto const bests = find_bests(estimates);
    keep_preferred(estimates, bests);
    auto const least = least_expected_ms(estimates);
    std::erase_if(estimates, [&](auto const& each) {
        return each.expected_ms > least * (1.0 + m_policy.tie_tolerance);
    });
    // The search knows those of the own zone best, and bytes between zones cost.
    auto const is_near = [this](auto const& each) { return each.target->listed.zone == m_own_zone; };
    if (found->second.uses_search && std::ranges::any_of(estimates, is_near)) {
        std::erase_if(estimates, [&](auto const& each) { return !is_near(each); });
    }
    auto const& estimate = estimates[random() % estimates.size()];
    auto chosen = make_choice(estimate);
    chosen.candidate_count = candidates;
    chosen.is_preferred = has_few_slots(*estimate.target) || is_eligible(estimate, bests);
    return chosen;
}

std::vector<target_choice> target_selector::probe_candidates(std::string_view pool,
                                                             std::span<std::string const> excluded,
                                                             std::size_t count,
                                                             std::chrono::milliseconds fresh, time_point now,
                                                             random_source& random) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end() || count == 0) {
        return {};
    }
    auto estimates = estimate_candidates(found->second, excluded, now);
    if (estimates.empty()) {
        return {};
    }
    auto const is_fresh = [&](auto const& each) {
        return each.report_age_ms >= 0 && each.report_age_ms < fresh.count();
    };
    keep_preferred(estimates, find_bests(estimates));
    std::ranges::shuffle(estimates, random);
    auto const& best = *std::ranges::min_element(estimates, {}, &candidate_estimate::expected_ms);
    // When the best target has a fresh report without a notable slowdown, probes cannot improve the choice.
    if (is_fresh(best) && best.slowdown <= std::max(1.2, found->second.mean_slowdown)) {
        return {};
    }
    std::erase_if(estimates, is_fresh);
    auto const end = estimates.begin() + static_cast<std::ptrdiff_t>(std::min(estimates.size(), count));
    std::ranges::partial_sort(estimates, end, {}, &candidate_estimate::expected_ms);
    std::vector<target_choice> probed;
    std::ranges::transform(estimates.begin(), end, std::back_inserter(probed), make_choice);
    return probed;
}

bool target_selector::uses_search(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    return found != m_pools.end() && found->second.uses_search;
}

void target_selector::set_home_zones(std::string_view pool,
                                     std::map<std::string, std::size_t, std::less<>> homes_by_zone) {
    m_pools[std::string(pool)].homes_by_zone = std::move(homes_by_zone);
}

double target_selector::probe_share(std::string const& id, std::size_t max_homes) const {
    if (!m_knows_homes) {
        return 0;
    }
    auto const found = m_targets.find(id);
    if (found == m_targets.end()) {
        return probe_rate_share(0, max_homes);
    }
    auto const& state = found->second;
    auto const& pool = m_pools.find(state.listed.pool)->second;
    if (!pool.uses_search) {
        return probe_rate_share(state.slot_claim_rank, max_homes);
    }
    auto const zone = pool.homes_by_zone.find(state.listed.zone);
    return search_rate_share(state.listed.zone == m_own_zone,
                             zone == pool.homes_by_zone.end() ? 0 : zone->second, pool.home_count);
}

target_search target_selector::begin_search(std::string_view pool, time_point now) const {
    return {m_policy.search, typical_service_time(pool), now};
}

search_candidate target_selector::make_search_candidate(std::size_t index, candidate_estimate const& value,
                                                        pool_state const& pool) const {
    auto const typical_ms = pool.typical_service_ms > 0 ? pool.typical_service_ms : default_service_ms;
    bool const is_in_own_zone = value.target->listed.zone == m_own_zone;
    return {.index = index,
            .expected_ms = value.expected_ms,
            .undisturbed_ms = typical_ms + (is_in_own_zone ? 0.0 : to_ms(m_policy.cross_zone_penalty)) +
                              value.expected_ms - value.service_ms,
            .slowdown = value.target->slowdown,
            .is_idle = value.target->in_flight == 0 && value.other_in_flight < 0.5,
            .is_in_own_zone = is_in_own_zone,
            .report_age_ms = value.report_age_ms};
}

std::vector<target_choice> target_selector::next_search_round(target_search& search, std::string_view pool,
                                                              std::span<std::string const> excluded,
                                                              target_predicate const& can_probe,
                                                              time_point now, random_source& random) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    auto const estimates = estimate_candidates(found->second, excluded, now);
    std::vector<search_candidate> candidates;
    candidates.reserve(estimates.size());
    for (std::size_t i = 0; i < estimates.size(); ++i) {
        candidates.push_back(make_search_candidate(i, estimates[i], found->second));
        candidates.back().can_be_probed = can_probe(estimates[i].target->listed.id);
    }
    std::vector<target_choice> probed;
    for (auto const index : search.next_round(candidates, found->second.good_share, now, random)) {
        probed.push_back(make_choice(estimates[index]));
    }
    return probed;
}

bool target_selector::is_known_good(target_search const& search, std::string const& id,
                                    time_point now) const {
    auto const found = m_targets.find(id);
    if (found == m_targets.end()) {
        return false;
    }
    auto const& pool = m_pools.find(found->second.listed.pool)->second;
    return is_usable_at(found->second, pool, now) &&
           search.is_known_good(make_search_candidate(0, estimate_candidate(found->second, pool, now), pool));
}

void target_selector::record_probe_failure(std::string const& id, time_point now) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        update_failure_rate(found->second, 1.0, now);
    }
}

void target_selector::attempt_started(std::string const& id, time_point now) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        ++found->second.in_flight;
        found->second.load_changed_at = now;
        found->second.cold_budget.record_request(now);
    }
}

std::optional<double> target_selector::known_slowdown(target_choice const& choice) const {
    bool const is_fresh =
        choice.report_age_ms >= 0 && choice.report_age_ms < m_policy.slowdown_half_life.count();
    return is_fresh ? std::optional(choice.slowdown) : std::nullopt;
}

void target_selector::attempt_finished(finished_attempt const& result, time_point now) {
    auto const found = m_targets.find(result.target);
    if (found == m_targets.end() || found->second.listed.started_unix_ms != result.incarnation) {
        return;
    }
    auto& state = found->second;
    state.in_flight -= std::min(state.in_flight, 1U);
    state.load_changed_at = now;
    auto& pool = m_pools[state.listed.pool];
    double failure = 0;
    switch (result.outcome) {
    case attempt_outcome::succeeded: {
        auto const normalized_ms =
            to_ms(result.latency) / std::max(1.0, result.slowdown.value_or(pool.mean_slowdown));
        update_mean(pool.typical_service_ms, normalized_ms, service_time_weight);
        update_mean(pool.mean_service_ms, to_ms(result.latency), service_time_weight);
        pool.high_response_time.observe(result.latency);
        break;
    }
    case attempt_outcome::failed:
    case attempt_outcome::timed_out:
        failure = 1.0;
        break;
    case attempt_outcome::refused:
        failure = 0.5;
        break;
    case attempt_outcome::cancelled:
        // An attempt that was cancelled after the estimated quantile lies above it. Without these, the
        // losers of hedges would lower the estimate and cause further hedges.
        if (auto const estimate = pool.high_response_time.value();
            estimate > std::chrono::nanoseconds::zero() && result.latency > estimate) {
            pool.high_response_time.observe(result.latency);
        }
        return;
    }
    update_failure_rate(state, failure, now);
}

void target_selector::apply_load_report(std::string const& id, load_report const& value,
                                        time_point received) {
    auto const found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    auto& state = found->second;
    if (state.reported_at && *state.reported_at > received) {
        return;
    }
    state.reported_at = received;
    state.slowdown = std::clamp(value.slowdown, 0.1, 100.0);
    if (value.warm_up_remaining) {
        state.cold_until = received + *value.warm_up_remaining;
    }
    auto const reported_load = static_cast<double>(value.running) + value.waiting;
    state.inferred_other_in_flight =
        std::max(0.0, reported_load - state.in_flight - peers_in_flight(state, received));
    auto& pool = m_pools[state.listed.pool];
    pool.mean_slowdown += mean_slowdown_weight * (state.slowdown - pool.mean_slowdown);
    bool const is_good = reported_load < 0.5 && state.slowdown <= m_policy.search.max_slowdown;
    pool.good_share += mean_slowdown_weight * ((is_good ? 1.0 : 0.0) - pool.good_share);
}

void target_selector::disable(std::string const& id) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        found->second.disabled = true;
    }
}

bool target_selector::record_leaving(std::string const& id, std::int64_t incarnation, time_point now) {
    auto const found = m_targets.find(id);
    if (found != m_targets.end() && found->second.listed.started_unix_ms == incarnation) {
        found->second.announced_leaving = true;
    }
    return m_exclusions.record_leaving({id, incarnation}, now);
}

bool target_selector::record_pause(std::string const& id, std::int64_t incarnation, time_point until,
                                   time_point now) {
    auto const found = m_targets.find(id);
    if (found != m_targets.end() && found->second.listed.started_unix_ms == incarnation) {
        found->second.paused_until = std::max(found->second.paused_until, until);
    }
    return m_exclusions.record_pause({id, incarnation}, until, now);
}

std::optional<target_selector::time_point> target_selector::paused_until(std::string_view pool,
                                                                         time_point now) const {
    auto const found = m_pools.find(pool);
    std::optional<time_point> first;
    if (found == m_pools.end()) {
        return first;
    }
    for (auto const* target : found->second.targets) {
        if (is_usable(*target) && target->paused_until <= now) {
            return std::nullopt;
        }
        if (is_usable(*target)) {
            first = std::min(first.value_or(target->paused_until), target->paused_until);
        }
    }
    return first;
}

std::optional<target_choice> target_selector::best_reported_target(std::string_view pool,
                                                                   std::span<std::string const> excluded,
                                                                   std::chrono::milliseconds max_age,
                                                                   time_point now) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    auto estimates = estimate_candidates(found->second, excluded, now);
    std::erase_if(estimates, [&](auto const& each) {
        return each.report_age_ms < 0 || each.report_age_ms > max_age.count();
    });
    if (estimates.empty()) {
        return std::nullopt;
    }
    return make_choice(*std::ranges::min_element(estimates, {}, &candidate_estimate::expected_ms));
}

std::optional<reported_slowdown> target_selector::last_report(std::string const& id) const {
    auto const found = m_targets.find(id);
    if (found == m_targets.end() || !found->second.reported_at) {
        return std::nullopt;
    }
    return reported_slowdown{.slowdown = found->second.slowdown, .reported_at = *found->second.reported_at};
}

double target_selector::mean_slowdown(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    return found == m_pools.end() ? 1.0 : found->second.mean_slowdown;
}

std::chrono::nanoseconds target_selector::high_response_time(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    return found == m_pools.end() ? std::chrono::nanoseconds() : found->second.high_response_time.value();
}

std::chrono::nanoseconds target_selector::typical_service_time(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(found->second.typical_service_ms * 1e6));
}

std::size_t target_selector::usable_target_count(std::string_view pool, std::span<std::string const> excluded,
                                                 time_point now) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(found->second.targets, [&](auto const* target) {
        return is_usable_at(*target, found->second, now) &&
               std::ranges::find(excluded, target->listed.id) == excluded.end();
    }));
}

bool target_selector::is_usable(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found != m_targets.end() && is_usable(found->second);
}

} // namespace pomelospread
