#include "gateway/workspace_rates.hpp"

#include "base/log.hpp"
#include "base/random.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace pomelospread {

namespace {

constexpr double tokens_per_unit = 0.001; ///< Of `token_amount::units`.

shared_rate::limit_key limit_key_of(std::string_view workspace) {
    return XXH3_64bits(workspace.data(), workspace.size());
}

std::uint64_t holder_key_of(endpoint const& holder) {
    auto const text = to_string(holder);
    return XXH3_64bits(text.data(), text.size());
}

/// Rounded down, so that no message holds more tokens than were deducted.
std::vector<token_amount> to_units(std::vector<shared_rate::amount> const& amounts) {
    std::vector<token_amount> result;
    for (auto const& each : amounts) {
        result.push_back(
            {.limit = each.key,
             .units = static_cast<std::uint32_t>(std::clamp(each.tokens / tokens_per_unit, 0.0, 4e9))});
    }
    return result;
}

std::vector<shared_rate::amount> to_amounts(std::vector<token_amount> const& units) {
    std::vector<shared_rate::amount> result;
    for (auto const& each : units) {
        result.push_back({.key = each.limit, .tokens = each.units * tokens_per_unit});
    }
    return result;
}

} // namespace

void workspace_rates::set_limits(routing_tables const& tables) {
    std::map<shared_rate::limit_key, rate_limit> limits;
    if (tables.workspaces) {
        for (auto const& workspace : *tables.workspaces) {
            if (workspace.requests_per_second > 0) {
                limits[limit_key_of(workspace.name)] = {.per_second = workspace.requests_per_second,
                                                        .burst = workspace.burst};
            }
        }
    }
    m_rate.set_limits(limits, clock::now());
}

void workspace_rates::set_holders(std::vector<endpoint> holders, endpoint const& self) {
    auto const count = holders.size();
    bool const is_holder = std::erase(holders, self) > 0;
    m_rate.set_holders(count, is_holder, clock::now());
    if (m_other_holders != holders) {
        log_line(log_level::info, "rate_holders_changed")
            .field("holders", static_cast<std::uint64_t>(count))
            .field("is_holder", is_holder ? "yes" : "no")
            .write();
        m_other_holders = std::move(holders);
    }
}

std::optional<std::chrono::nanoseconds> workspace_rates::admit(workspace_row const& workspace) {
    if (workspace.requests_per_second <= 0) {
        return std::nullopt;
    }
    auto const key = limit_key_of(workspace.name);
    auto const deadline = clock::now() + max_token_wait;
    m_rate.record_arrival(key, clock::now());
    for (;;) {
        auto const now = clock::now();
        if (m_rate.try_take(key, now)) {
            return std::nullopt;
        }
        bool const is_awaiting = m_rate.is_awaiting(key, now) || ask_next_holder(now);
        if (!is_awaiting || now >= deadline) {
            return m_rate.promise_retry(key, now);
        }
        std::unique_lock lock(m_mutex);
        m_received.wait_until(lock, deadline);
    }
}

void workspace_rates::give_back(workspace_row const& workspace) {
    if (workspace.requests_per_second > 0) {
        m_rate.give_back(limit_key_of(workspace.name), clock::now());
    }
}

bool workspace_rates::ask_next_holder(clock::time_point now) {
    for (std::size_t i = 0; i < m_other_holders.size(); ++i) {
        auto const& holder = m_other_holders[m_next_holder++ % m_other_holders.size()];
        auto const request_id = thread_random()();
        auto const asked = m_rate.ask(holder_key_of(holder), request_id, now);
        if (!asked.empty()) {
            m_asked_at = now;
            m_send({.kind = datagram_kind::token_transfer,
                    .tokens = {.is_answer = false, .request_id = request_id, .amounts = to_units(asked)}},
                   holder);
            return true;
        }
    }
    return false;
}

void workspace_rates::send_requests() {
    auto const now = clock::now();
    if (!m_rate.empty() && now - m_asked_at >= request_interval && m_rate.needs_tokens(now)) {
        static_cast<void>(ask_next_holder(now));
        m_asked_at = now;
    }
}

void workspace_rates::receive(token_transfer const& transfer, endpoint const& sender) {
    auto const now = clock::now();
    auto const amounts = to_amounts(transfer.amounts);
    if (transfer.is_answer) {
        m_rate.receive(transfer.request_id, amounts, now);
        m_received.notify_all();
        return;
    }
    auto const given = m_rate.give(amounts, now);
    m_send({.kind = datagram_kind::token_transfer,
            .tokens = {.is_answer = true, .request_id = transfer.request_id, .amounts = to_units(given)}},
           sender);
}

double workspace_rates::balance(workspace_row const& workspace) const {
    return m_rate.balance(limit_key_of(workspace.name), clock::now());
}

} // namespace pomelospread
