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
/// With less, an instance has hardly any requests of the limit, and needs tokens only when one arrives.
constexpr double min_demand_per_second = 0.2;

} // namespace

double shared_rate::generated_per_second(limit_state const& state) const {
    return m_is_holder ? state.limit.per_second / static_cast<double>(m_holder_count) : 0.0;
}

double shared_rate::capacity(limit_state const& state) const {
    // An instance that is no holder keeps only what a request is waiting for.
    auto const part = (state.limit.burst + m_policy.fleet_slack) / static_cast<double>(m_holder_count);
    return m_is_holder ? std::max(1.0, part) : 1.0;
}

double shared_rate::demand(limit_state const& state, time_point now) const {
    auto const age = std::max(0.0, seconds(now - state.demand_updated_at));
    return state.demand_per_second * std::exp2(-age / seconds(m_policy.demand_half_life));
}

double shared_rate::wanted(limit_state const& state, time_point now) const {
    auto const per_second = demand(state, now);
    if (per_second < min_demand_per_second) {
        return 0;
    }
    auto const needed = 1.0 + per_second * seconds(m_policy.demand_horizon);
    auto const available = state.tokens + state.on_the_way;
    return std::max(0.0, std::min(needed, capacity(state)) - available);
}

void shared_rate::generate(limit_state& state, time_point now) const {
    if (now > state.updated_at) {
        auto const limit = std::max(state.tokens, capacity(state) - state.on_the_way);
        state.tokens =
            std::min(limit, state.tokens + generated_per_second(state) * seconds(now - state.updated_at));
        state.updated_at = now;
    }
}

void shared_rate::set_limits(std::map<limit_key, rate_limit> const& limits, time_point now) {
    std::erase_if(m_limits, [&](auto const& entry) { return !limits.contains(entry.first); });
    for (auto const& [key, limit] : limits) {
        auto const [found, added] = m_limits.try_emplace(key);
        auto& state = found->second;
        if (added) {
            // One token, not a full burst, since many instances may start at once.
            state.tokens = m_is_holder ? 1.0 : 0.0;
            state.updated_at = now;
        } else {
            generate(state, now);
        }
        state.limit = limit;
        state.tokens = std::min(state.tokens, capacity(state));
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
    m_holder_count = count;
    m_is_holder = is_holder;
    for (auto& [key, state] : m_limits) {
        state.tokens = std::min(state.tokens, capacity(state));
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
    state.tokens = std::max(0.0, state.tokens - 1.0);
    return true;
}

void shared_rate::record_arrival(limit_key key, time_point now) {
    if (auto const found = m_limits.find(key); found != m_limits.end()) {
        auto& state = found->second;
        // Each arrival adds what makes the decayed sum equal the rate of steady arrivals.
        auto const weight = std::log(2.0) / seconds(m_policy.demand_half_life);
        state.demand_per_second = demand(state, now) + weight;
        state.demand_updated_at = now;
    }
}

void shared_rate::give_back(limit_key key, time_point now) {
    if (auto const found = m_limits.find(key); found != m_limits.end()) {
        auto& state = found->second;
        generate(state, now);
        state.tokens =
            std::min(std::max(state.tokens, capacity(state) - state.on_the_way), state.tokens + 1.0);
    }
}

std::chrono::nanoseconds shared_rate::promise_retry(limit_key key, time_point now) {
    auto const found = m_limits.find(key);
    if (found == m_limits.end()) {
        return {};
    }
    auto& state = found->second;
    generate(state, now);
    auto const rate =
        std::max(generated_per_second(state), state.limit.per_second / static_cast<double>(m_holder_count));
    auto const interval =
        rate > 0 ? std::chrono::nanoseconds(static_cast<std::int64_t>(std::min(1e18, 1e9 / rate)))
                 : std::chrono::nanoseconds(m_policy.max_retry_after);
    state.promised_until = std::max(state.promised_until, now) + interval;
    std::chrono::nanoseconds const longest = m_policy.max_retry_after;
    state.promised_until = std::min(state.promised_until, now + longest);
    return state.promised_until - now;
}

void shared_rate::expire_requests(time_point now) {
    std::erase_if(m_open_requests, [&](auto const& entry) {
        bool const is_over = now - entry.second.asked_at >= m_policy.transfer_timeout;
        if (is_over) {
            close_request(entry.second);
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

std::vector<shared_rate::amount> shared_rate::ask(std::uint64_t holder, std::uint64_t request_id,
                                                  time_point now) {
    expire_requests(now);
    std::vector<amount> asked;
    for (auto& [key, state] : m_limits) {
        generate(state, now);
        auto const tokens = wanted(state, now);
        auto const empty = state.empty_until.find(holder);
        bool const is_empty = empty != state.empty_until.end() && now < empty->second;
        if (tokens > 0 && !is_empty && asked.size() < m_policy.max_amounts_per_request) {
            state.on_the_way += tokens;
            asked.push_back({.key = key, .tokens = tokens});
        }
    }
    if (!asked.empty()) {
        m_open_requests.insert_or_assign(request_id,
                                         open_request{.holder = holder, .asked_at = now, .amounts = asked});
    }
    return asked;
}

std::vector<shared_rate::amount> shared_rate::give(std::vector<amount> const& asked, time_point now) {
    std::vector<amount> given;
    for (auto const& each : asked) {
        auto const found = m_limits.find(each.key);
        if (found == m_limits.end() || !(each.tokens > 0)) {
            continue;
        }
        auto& state = found->second;
        generate(state, now);
        auto const per_second = demand(state, now);
        auto const own_need =
            per_second < min_demand_per_second ? 0.0 : 1.0 + per_second * seconds(m_policy.demand_horizon);
        auto const tokens = std::clamp(state.tokens - own_need, 0.0, each.tokens);
        state.tokens -= tokens;
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
    for (auto const& asked : request.amounts) {
        auto const limit = m_limits.find(asked.key);
        if (limit == m_limits.end()) {
            continue;
        }
        auto& state = limit->second;
        generate(state, now);
        auto const answer = std::ranges::find(given, asked.key, &amount::key);
        auto const tokens = answer == given.end() ? 0.0 : std::clamp(answer->tokens, 0.0, asked.tokens);
        state.on_the_way = std::max(0.0, state.on_the_way - asked.tokens);
        state.tokens = std::min(std::max(state.tokens, capacity(state)), state.tokens + tokens);
        if (tokens < asked.tokens / 2) {
            state.empty_until[request.holder] = now + m_policy.empty_holder_delay;
        }
    }
}

bool shared_rate::is_awaiting(limit_key key, time_point now) {
    expire_requests(now);
    auto const found = m_limits.find(key);
    return found != m_limits.end() && found->second.on_the_way > 0;
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
