#include "coordination/target_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace pomelospread {

namespace {

/// Expected time of a request before any was measured.
constexpr double unknown_work_ms = 100.0;
constexpr double work_weight = 0.05;
constexpr double mean_slowdown_weight = 0.02;
/// Many targets slow down when they are nearly full.
constexpr double full_factor = 0.7;
constexpr double full_from = 0.7;

double to_ms(std::chrono::nanoseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// What is left of a weight of one after `age`.
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
            bool const same_life = before.listed.started_unix_ms == listed.started_unix_ms &&
                                   before.listed.address == listed.address &&
                                   before.listed.pool == listed.pool;
            if (same_life) {
                state = before;
                state.listed = listed;
                if (before.listed.warm_up_remaining_ms != listed.warm_up_remaining_ms) {
                    state.list_updated_at = now;
                }
            }
        }
        next.emplace(listed.id, std::move(state));
    }
    m_targets = std::move(next);
    m_id_by_hash.clear();
    for (auto const& [id, state] : m_targets) {
        m_pools[state.listed.pool].targets.push_back(&state);
        m_id_by_hash.emplace(target_id_hash(id), id);
    }
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

double target_selector::other_in_flight(target_state const& state, time_point now) const {
    auto const told = state.reported_at
                          ? state.inferred_other_in_flight *
                                decayed(now - *state.reported_at, m_policy.inferred_load_half_life)
                          : 0.0;
    return told + peers_in_flight(state, now);
}

double target_selector::available_capacity(std::string_view pool, time_point now) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    auto const choices = estimate_candidates(found->second, {}, now);
    if (choices.empty()) {
        return 0;
    }
    auto const least = least_expected_ms(choices);
    double places = 0;
    for (auto const& each : choices) {
        places += is_eligible(each, least) ? each.available_capacity : 0;
    }
    return places;
}

bool target_selector::is_eligible(candidate_estimate const& value, double least_ms) const {
    return value.available_capacity >= 1.0 && value.expected_ms <= least_ms * m_policy.max_latency_factor;
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
    return std::chrono::nanoseconds(
        static_cast<std::int64_t>(found->second.typical_service_ms * found->second.mean_slowdown * 1e6));
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

target_selector::candidate_estimate
target_selector::estimate_candidate(target_state const& state, pool_state const& pool, time_point now) const {
    auto const usual = pool.typical_service_ms > 0 ? pool.typical_service_ms : unknown_work_ms;
    double slowdown = pool.mean_slowdown;
    double const others = other_in_flight(state, now);
    candidate_estimate choice{.target = &state};
    if (state.reported_at) {
        auto const age = now - *state.reported_at;
        auto const weight = decayed(age, m_policy.slowdown_half_life);
        slowdown = weight * state.slowdown + (1.0 - weight) * pool.mean_slowdown;
        choice.report_age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
    }
    auto const slots = static_cast<double>(std::max<std::int64_t>(1, state.listed.slots));
    auto const load = state.in_flight + others + 1.0;
    double work = usual * slowdown;
    auto const fill = std::min(1.0, load / slots);
    if (fill > full_from) {
        work *= 1.0 + full_factor * (fill - full_from) / (1.0 - full_from);
    }
    auto const warm_in = state.list_updated_at + std::chrono::milliseconds(state.listed.warm_up_remaining_ms);
    if (warm_in > now) {
        work *= m_policy.cold_start_factor;
    }
    auto const wait = std::max(0.0, load - slots) / slots * usual * pool.mean_slowdown;
    auto const failing = failure_rate(state, now);
    choice.expected_ms = work + wait + failing * m_policy.failure_penalty_factor * usual;
    if (state.listed.zone != m_own_zone) {
        choice.expected_ms += to_ms(m_policy.cross_zone_penalty);
    }
    auto const used = state.listed.slots <= m_policy.full_use_max_slots
                          ? slots
                          : std::floor(slots * m_policy.usable_slot_share);
    choice.available_capacity = std::max(0.0, used - state.in_flight - std::round(others));
    choice.slowdown = slowdown;
    choice.other_in_flight = others;
    choice.failure_rate = failing;
    return choice;
}

std::vector<target_selector::candidate_estimate>
target_selector::estimate_candidates(pool_state const& pool, std::span<std::string const> excluded,
                                     time_point now) const {
    std::vector<candidate_estimate> choices;
    choices.reserve(pool.targets.size());
    for (auto const* target : pool.targets) {
        if (!target->disabled && !target->listed.leaving &&
            std::ranges::find(excluded, target->listed.id) == excluded.end()) {
            choices.push_back(estimate_candidate(*target, pool, now));
        }
    }
    return choices;
}

target_choice target_selector::make_choice(candidate_estimate const& value) {
    return {.id = value.target->listed.id,
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

double target_selector::least_expected_ms(std::span<candidate_estimate const> choices) {
    return std::ranges::min_element(choices, {}, &candidate_estimate::expected_ms)->expected_ms;
}

std::optional<target_choice> target_selector::choose(std::string_view pool,
                                                     std::span<std::string const> excluded, time_point now,
                                                     random_source& random) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return std::nullopt;
    }
    auto choices = estimate_candidates(found->second, excluded, now);
    if (choices.empty()) {
        return std::nullopt;
    }
    auto const candidates = choices.size();
    auto const least_of_all = least_expected_ms(choices);
    auto const is_good = [&](auto const& each) { return is_eligible(each, least_of_all); };
    if (std::ranges::any_of(choices, is_good)) {
        // Where slots are few, a short wait at a fast target is better than a free place at a slow one, and
        // the expected time tells; where they are many, the last ones slow all of the target's requests down.
        std::erase_if(choices, [&](auto const& each) {
            return each.target->listed.slots > m_policy.full_use_max_slots && !is_good(each);
        });
    }
    auto const least = least_expected_ms(choices);
    std::erase_if(
        choices, [&](auto const& each) { return each.expected_ms > least * (1.0 + m_policy.tie_tolerance); });
    auto chosen = make_choice(choices[random() % choices.size()]);
    chosen.candidate_count = candidates;
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
    auto choices = estimate_candidates(found->second, excluded, now);
    if (choices.empty()) {
        return {};
    }
    auto const is_fresh = [&](auto const& each) {
        return each.report_age_ms >= 0 && each.report_age_ms < fresh.count();
    };
    std::ranges::shuffle(choices, random);
    auto const& best = *std::ranges::min_element(choices, {}, &candidate_estimate::expected_ms);
    // A fresh report that names no slowdown settles the choice.
    if (is_fresh(best) && best.slowdown <= std::max(1.2, found->second.mean_slowdown)) {
        return {};
    }
    std::erase_if(choices, is_fresh);
    auto const end = choices.begin() + static_cast<std::ptrdiff_t>(std::min(choices.size(), count));
    std::ranges::partial_sort(choices, end, {}, &candidate_estimate::expected_ms);
    std::vector<target_choice> checked;
    std::ranges::transform(choices.begin(), end, std::back_inserter(checked), make_choice);
    return checked;
}

void target_selector::record_probe_failure(std::string const& id, time_point now) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        update_failure_rate(found->second, 1.0, now);
    }
}

void target_selector::request_started(std::string const& id) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        ++found->second.in_flight;
    }
}

void target_selector::request_finished(std::string const& id, attempt_outcome outcome,
                                       std::chrono::nanoseconds latency, time_point now) {
    auto const found = m_targets.find(id);
    if (found == m_targets.end()) {
        return;
    }
    auto& state = found->second;
    state.in_flight -= std::min(state.in_flight, 1U);
    auto& pool = m_pools[state.listed.pool];
    double failure = 0;
    switch (outcome) {
    case attempt_outcome::answered: {
        auto const normal = to_ms(latency) / std::max(1.0, pool.mean_slowdown);
        pool.typical_service_ms =
            pool.typical_service_ms == 0
                ? normal
                : pool.typical_service_ms + work_weight * (normal - pool.typical_service_ms);
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
    auto const told = static_cast<double>(value.running) + value.waiting;
    state.inferred_other_in_flight = std::max(0.0, told - state.in_flight - peers_in_flight(state, received));
    auto& pool = m_pools[state.listed.pool];
    pool.mean_slowdown += mean_slowdown_weight * (state.slowdown - pool.mean_slowdown);
}

void target_selector::disable(std::string const& id) {
    if (auto const found = m_targets.find(id); found != m_targets.end()) {
        found->second.disabled = true;
    }
}

std::chrono::nanoseconds target_selector::typical_service_time(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return {};
    }
    return std::chrono::nanoseconds(static_cast<std::int64_t>(found->second.typical_service_ms * 1e6));
}

std::size_t target_selector::usable_target_count(std::string_view pool) const {
    auto const found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::ranges::count_if(found->second.targets, [](auto const* target) {
        return !target->disabled && !target->listed.leaving;
    }));
}

bool target_selector::is_usable(std::string const& id) const {
    auto const found = m_targets.find(id);
    return found != m_targets.end() && !found->second.disabled && !found->second.listed.leaving;
}

} // namespace pomelospread
