#include "coordination/shared_rate.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelospread {

namespace {

double seconds(std::chrono::nanoseconds duration) {
    return std::chrono::duration<double>(duration).count();
}

/// A request needs a whole token; sums of parts may miss it by rounding.
constexpr double whole_token = 1.0 - 1e-9;
/// Longest time from a request for tokens to its answer, in general.
constexpr std::chrono::milliseconds transit_time{25};
/// What a holder asks for beyond the tokens of the requests that wait.
constexpr double spare_tokens = 0.1;
/// How much of its capacity another holder is expected to have. With 464 instances that are no holders and
/// 20 limits of 30 requests/s at 0.9, without `scarcity_memory`, the fleet sent 176 kB/s and lost 3.3% with
/// 0.5, 208 kB/s and 1.1% with 0.15, 500 kB/s and nothing with 0.03.
constexpr double expected_filled_share = 0.15;
/// A holder with a request of the limit in the last half-second fills this part of its capacity. Of a limit
/// of 1.5 requests/s at 0.6 of it, 0.15% of the requests were lost with 0, 0.08% with 0.5, 0.2% with 0.85.
constexpr double min_filled_share = 0.5;
constexpr double min_demand_per_second = 0.7; ///< A half-second after a single request.
/// The part of its need that an instance lacks when it asks ahead.
constexpr double min_shortage = 0.25;
/// The part of its capacity that a holder keeps for its own demand.
constexpr double max_kept_share = 0.33;
/// Of a token unit, so that a sum of units is not rounded to the next one.
constexpr double rounding = 1e-6;

} // namespace

double shared_rate::generated_per_second(limit_state const& state) const {
    return m_is_holder ? state.limit.per_second / static_cast<double>(m_holder_count) : 0.0;
}

double shared_rate::capacity(limit_state const& state) const {
    auto const sum = state.limit.burst + m_policy.fleet_slack;
    // What another instance asks for is bounded by what the holders have.
    return m_is_holder ? std::max(1.0, sum / static_cast<double>(m_holder_count)) : std::max(1.0, sum);
}

/// The tokens that this instance may keep now.
double shared_rate::room(limit_state const& state) const {
    return m_is_holder ? std::max(0.0, capacity(state) - state.given_tokens - state.on_the_way)
                       : capacity(state);
}

double shared_rate::demand(limit_state const& state, time_point now) const {
    auto const age = std::max(0.0, seconds(now - state.demand_updated_at));
    return state.demand_per_second * std::exp2(-age / seconds(m_policy.demand_half_life));
}

double shared_rate::demand_ahead(limit_state const& state, time_point now) const {
    auto const horizon = m_is_holder ? m_policy.demand_horizon : m_policy.guest_horizon;
    auto const ahead = demand(state, now) * seconds(horizon);
    return ahead < (m_is_holder ? m_policy.min_tokens_ahead : m_policy.min_guest_tokens_ahead) ? 0.0 : ahead;
}

double shared_rate::own_need(limit_state const& state, time_point now) const {
    auto const ahead = demand_ahead(state, now);
    if (ahead > 0) {
        return std::max(state.waiting, 1.0 + ahead);
    }
    if (!m_is_holder) {
        return state.waiting;
    }
    // One of the holders that are asked at once may have less than its part.
    auto const waiting = state.waiting > 0 ? state.waiting + spare_tokens : 0.0;
    // Taken from holders that are full, whose part of the rate is lost otherwise.
    bool const is_used = demand(state, now) >= min_demand_per_second;
    return is_used ? std::max(waiting, capacity(state) * min_filled_share) : waiting;
}

/// What a holder does not give to others.
double shared_rate::kept(limit_state const& state, time_point now) const {
    // With more, the holders of a small burst keep all of it where it is not needed.
    auto const ahead = std::min(demand_ahead(state, now), capacity(state) * max_kept_share);
    // Of the tokens for refused requests, those that this instance does not generate in time.
    auto const generated =
        std::max(0.0, seconds(state.promised_until - now)) / seconds(token_interval(state));
    auto const promised = std::ceil(generated) - generated;
    return std::max({state.waiting, ahead, promised});
}

/// The time in which this instance's part of the rate has a token.
std::chrono::nanoseconds shared_rate::token_interval(limit_state const& state) const {
    auto const rate = state.limit.per_second / static_cast<double>(m_holder_count);
    return rate > 0 ? std::chrono::nanoseconds(static_cast<std::int64_t>(std::min(1e18, 1e9 / rate)))
                    : std::chrono::nanoseconds(m_policy.max_retry_after);
}

double shared_rate::wanted(limit_state const& state, time_point now) const {
    if (state.waiting <= 0 && state.demand_per_second <= 0) {
        return 0;
    }
    // Tokens generated until the answer arrives need room as well.
    auto const generated = generated_per_second(state) * seconds(transit_time);
    auto const free = std::max(0.0, capacity(state) - state.given_tokens);
    auto const needed = std::min(own_need(state, now), std::max(std::min(1.0, free), free - generated));
    auto const available = state.tokens + state.on_the_way;
    // Small shortages are not worth a message while a request finds a token.
    bool const is_short =
        available < std::min(needed, whole_token) || available < needed * (1 - min_shortage);
    return is_short ? needed - available : 0.0;
}

void shared_rate::generate_until(limit_state& state, time_point until) const {
    auto const generated = generated_per_second(state) * seconds(until - state.updated_at);
    state.tokens = std::min(std::max(state.tokens, room(state)), state.tokens + generated);
    state.updated_at = until;
}

void shared_rate::generate(limit_state& state, time_point now) const {
    if (now <= state.updated_at) {
        return;
    }
    while (!state.given.empty() && state.given.front().until <= now) {
        // Room that becomes free is not filled with tokens of the time before.
        generate_until(state, std::max(state.updated_at, state.given.front().until));
        state.given_tokens = std::max(0.0, state.given_tokens - state.given.front().tokens);
        state.given.pop_front();
    }
    generate_until(state, now);
    while (!state.expiring.empty() && state.expiring.front().until <= now) {
        drop_oldest(state, state.expiring.front().tokens);
    }
}

/// Takes tokens of an instance that is no holder, or lets them expire.
void shared_rate::drop_oldest(limit_state& state, double tokens) {
    state.tokens = std::max(0.0, state.tokens - tokens);
    while (!state.expiring.empty() && state.expiring.front().tokens <= tokens) {
        tokens -= state.expiring.front().tokens;
        state.expiring.pop_front();
    }
    if (!state.expiring.empty()) {
        state.expiring.front().tokens -= tokens;
    }
}

void shared_rate::set_limits(std::map<limit_key, rate_limit> const& limits, time_point now) {
    std::erase_if(m_limits, [&](auto const& entry) { return !limits.contains(entry.first); });
    for (auto const& [key, limit] : limits) {
        auto const [found, added] = m_limits.try_emplace(key);
        auto& state = found->second;
        if (added) {
            state.updated_at = now;
        } else {
            generate(state, now);
        }
        state.limit = limit;
        state.tokens = std::min(state.tokens, room(state));
    }
}

void shared_rate::set_holders(std::size_t count, bool is_holder, time_point now) {
    count = std::max<std::size_t>(1, count);
    if (count == m_holder_count && is_holder == m_is_holder) {
        return;
    }
    for (auto& [key, state] : m_limits) {
        generate(state, now);
    }
    bool const is_demoted = m_is_holder && !is_holder;
    m_holder_count = count;
    m_is_holder = is_holder;
    for (auto& [key, state] : m_limits) {
        // No capacity accounts any more for what the instance kept as a holder.
        state.tokens = is_demoted ? 0.0 : std::min(state.tokens, room(state));
        if (m_is_holder) {
            state.expiring.clear();
        }
    }
}

bool shared_rate::try_take(limit_key key, time_point now) {
    auto const found = m_limits.find(key);
    if (found == m_limits.end()) {
        return true;
    }
    auto& state = found->second;
    generate(state, now);
    if (state.tokens < whole_token) {
        return false;
    }
    drop_oldest(state, 1.0);
    state.waiting = std::max(0.0, state.waiting - 1.0);
    return true;
}

void shared_rate::record_arrival(limit_key key, time_point now) {
    if (auto const found = m_limits.find(key); found != m_limits.end()) {
        auto& state = found->second;
        // Each arrival adds what makes the decayed sum equal the rate of steady arrivals.
        auto const weight = std::log(2.0) / seconds(m_policy.demand_half_life);
        state.demand_per_second = demand(state, now) + weight;
        state.demand_updated_at = now;
        state.waiting += 1.0;
    }
}

void shared_rate::give_back(limit_key key, time_point now) {
    if (auto const found = m_limits.find(key); found != m_limits.end()) {
        auto& state = found->second;
        generate(state, now);
        if (m_is_holder) {
            state.tokens = std::min(std::max(state.tokens, room(state)), state.tokens + 1.0);
        }
    }
}

std::chrono::nanoseconds shared_rate::promise_retry(limit_key key, time_point now) {
    auto const found = m_limits.find(key);
    if (found == m_limits.end()) {
        return {};
    }
    auto& state = found->second;
    generate(state, now);
    state.waiting = std::max(0.0, state.waiting - 1.0);
    auto const interval = token_interval(state);
    state.promised_until = std::max(state.promised_until, now) + interval;
    auto const longest = std::max<std::chrono::nanoseconds>(m_policy.max_retry_after, interval);
    state.promised_until = std::min(state.promised_until, now + longest);
    return state.promised_until - now;
}

void shared_rate::expire_requests(time_point now) {
    std::erase_if(m_open_requests, [&](auto const& entry) {
        bool const is_over = now - entry.second.asked_at >= m_policy.transfer_timeout;
        if (is_over) {
            close_request(entry.second);
            auto& silent = m_silent_holders[entry.second.holder];
            silent.delay =
                std::clamp(2 * silent.delay, m_policy.silent_holder_delay, m_policy.max_silent_holder_delay);
            silent.ask_at = now + silent.delay;
        }
        return is_over;
    });
}

void shared_rate::close_request(open_request const& request) {
    for (auto const& each : request.amounts) {
        if (auto const found = m_limits.find(each.key); found != m_limits.end()) {
            found->second.on_the_way = std::max(0.0, found->second.on_the_way - each.tokens);
        }
    }
}

bool shared_rate::is_answering(std::uint64_t holder, time_point now) const {
    auto const silent = m_silent_holders.find(holder);
    return silent == m_silent_holders.end() || now >= silent->second.ask_at;
}

bool shared_rate::is_empty(limit_state const& state, std::uint64_t holder, time_point now) {
    auto const empty = state.empty_until.find(holder);
    return empty != state.empty_until.end() && now < empty->second;
}

std::size_t shared_rate::holders_to_ask(limit_key key, time_point now) const {
    auto const found = m_limits.find(key);
    if (found == m_limits.end() || m_is_holder || now < found->second.scarce_until) {
        return m_holder_count;
    }
    auto const& limit = found->second.limit;
    auto const in_each = (limit.burst + m_policy.fleet_slack) / static_cast<double>(m_holder_count);
    auto const count = std::ceil(wanted(found->second, now) / (in_each * expected_filled_share));
    return static_cast<std::size_t>(std::clamp(count, 1.0, static_cast<double>(m_holder_count)));
}

bool shared_rate::needs_tokens_of(std::uint64_t holder, time_point now) const {
    return is_answering(holder, now) && std::ranges::any_of(m_limits, [&](auto const& entry) {
               return wanted(entry.second, now) > 0 && !is_empty(entry.second, holder, now);
           });
}

bool shared_rate::needs_tokens_of(std::uint64_t holder, limit_key key, time_point now) const {
    auto const found = m_limits.find(key);
    return found != m_limits.end() && is_answering(holder, now) && wanted(found->second, now) > 0 &&
           !is_empty(found->second, holder, now);
}

std::vector<shared_rate::amount> shared_rate::ask(std::uint64_t holder, std::uint64_t request_id,
                                                  time_point now, std::size_t holders) {
    expire_requests(now);
    if (!is_answering(holder, now)) {
        return {};
    }
    std::vector<amount> asked;
    for (auto& [key, state] : m_limits) {
        generate(state, now);
        auto const tokens =
            std::ceil(wanted(state, now) / static_cast<double>(holders) / token_unit - rounding) * token_unit;
        if (tokens > 0 && !is_empty(state, holder, now) && asked.size() < m_policy.max_amounts_per_request) {
            state.on_the_way += tokens;
            asked.push_back({.key = key, .tokens = tokens});
        }
    }
    if (!asked.empty()) {
        m_open_requests.insert_or_assign(
            request_id,
            open_request{.holder = holder, .asked_at = now, .as_holder = m_is_holder, .amounts = asked});
    }
    return asked;
}

std::vector<shared_rate::amount> shared_rate::give(std::vector<amount> const& asked, bool to_holder,
                                                   time_point now) {
    std::vector<amount> given;
    for (auto const& each : asked) {
        auto const found = m_limits.find(each.key);
        if (found == m_limits.end() || !(each.tokens > 0)) {
            continue;
        }
        auto& state = found->second;
        generate(state, now);
        auto const surplus = m_is_holder ? std::max(0.0, state.tokens - kept(state, now)) : 0.0;
        auto const units = std::floor(std::min(surplus, each.tokens) / token_unit + rounding);
        auto const tokens = std::min(state.tokens, units * token_unit);
        if (tokens > 0) {
            state.tokens -= tokens;
        }
        if (tokens > 0 && !to_holder) {
            state.given.push_back({.until = now + m_policy.transfer_timeout, .tokens = tokens});
            state.given_tokens += tokens;
        }
        given.push_back({.key = each.key, .tokens = tokens});
    }
    return given;
}

void shared_rate::receive(std::uint64_t request_id, std::vector<amount> const& given, time_point now) {
    expire_requests(now);
    auto const found = m_open_requests.find(request_id);
    if (found == m_open_requests.end()) {
        return;
    }
    auto const request = std::move(found->second);
    m_open_requests.erase(found);
    m_silent_holders.erase(request.holder);
    for (auto const& asked : request.amounts) {
        auto const limit = m_limits.find(asked.key);
        if (limit == m_limits.end()) {
            continue;
        }
        auto& state = limit->second;
        generate(state, now);
        auto const answer = std::ranges::find(given, asked.key, &amount::key);
        // Of what it asked for as a holder, nothing accounts when it is none any more.
        bool const is_dropped = answer == given.end() || (request.as_holder && !m_is_holder);
        auto const tokens = is_dropped ? 0.0 : std::clamp(answer->tokens, 0.0, asked.tokens);
        state.on_the_way = std::max(0.0, state.on_the_way - asked.tokens);
        if (!m_is_holder && tokens > 0) {
            auto const until = request.asked_at + m_policy.transfer_timeout;
            auto const later = std::ranges::upper_bound(state.expiring, until, {}, &timed_amount::until);
            state.expiring.insert(later, {.until = until, .tokens = tokens});
        }
        state.tokens = std::min(std::max(state.tokens, room(state)), state.tokens + tokens);
        if (tokens < asked.tokens - token_unit) {
            state.empty_until[request.holder] = now + m_policy.empty_holder_delay;
            state.scarce_until = now + m_policy.scarcity_memory;
        }
    }
}

bool shared_rate::is_awaiting(limit_key key, time_point now) {
    expire_requests(now);
    auto const found = m_limits.find(key);
    return found != m_limits.end() && found->second.on_the_way > token_unit / 2;
}

double shared_rate::balance(limit_key key, time_point now) const {
    auto const found = m_limits.find(key);
    if (found == m_limits.end()) {
        return 0;
    }
    auto state = found->second;
    generate(state, now);
    return state.tokens;
}

bool shared_rate::needs_tokens(time_point now) const {
    return std::ranges::any_of(m_limits, [&](auto const& entry) { return wanted(entry.second, now) > 0; });
}

} // namespace pomelospread
