#include "gateway/workspace_rates.hpp"

#include "base/log.hpp"
#include "base/random.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomelospread {

namespace {

shared_rate::limit_key limit_key_of(std::string_view workspace) {
    return XXH3_64bits(workspace.data(), workspace.size());
}

std::uint64_t holder_key_of(endpoint const& holder) {
    auto const text = to_string(holder);
    return XXH3_64bits(text.data(), text.size());
}

/// The amounts of `shared_rate` are whole units.
std::vector<token_amount> to_units(std::vector<shared_rate::amount> const& amounts) {
    std::vector<token_amount> result;
    result.reserve(amounts.size());
    for (auto const& each : amounts) {
        result.push_back({.limit = each.key,
                          .units = static_cast<std::uint32_t>(
                              std::clamp(std::round(each.tokens / shared_rate::token_unit), 0.0, 4e9))});
    }
    return result;
}

std::vector<shared_rate::amount> to_amounts(std::vector<token_amount> const& units) {
    std::vector<shared_rate::amount> result;
    result.reserve(units.size());
    for (auto const& each : units) {
        result.push_back({.key = each.limit, .tokens = each.units * shared_rate::token_unit});
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

void workspace_rates::set_part(rate_part part, boot_clock::time_point valid_until,
                               std::vector<endpoint> holders_to_ask) {
    m_part_valid_until = valid_until;
    part.is_held = part.is_held && boot_clock::now() < valid_until;
    m_rate.set_holders(part.divisor, part.is_held, clock::now());
    if (m_asked_holders != holders_to_ask || m_part != part) {
        log_line(log_level::info, "rate_holders_changed")
            .field("holders", static_cast<std::uint64_t>(part.divisor))
            .field("is_holder", part.is_held ? "yes" : "no")
            .field("answering", static_cast<std::uint64_t>(holders_to_ask.size()))
            .write();
        m_asked_holders = std::move(holders_to_ask);
        m_part = part;
        m_next_holder = thread_random()();
    }
}

void workspace_rates::expire_part() {
    if (m_part.is_held && boot_clock::now() >= m_part_valid_until) {
        set_part(m_part, m_part_valid_until, m_asked_holders);
    }
}

std::optional<std::chrono::nanoseconds> workspace_rates::admit(workspace_row const& workspace) {
    if (workspace.requests_per_second <= 0) {
        return std::nullopt;
    }
    auto const key = limit_key_of(workspace.name);
    auto const deadline = clock::now() + max_token_wait;
    m_rate.record_arrival(key, clock::now());
    bool has_asked = false;
    for (;;) {
        expire_part();
        auto const now = clock::now();
        if (m_rate.try_take(key, now)) {
            return std::nullopt;
        }
        if (now >= deadline) {
            return m_rate.promise_retry(key, now);
        }
        if (!m_rate.is_awaiting(key, now)) {
            auto const count = has_asked ? max_asked_holders : m_rate.holders_to_ask(key, now);
            has_asked = true;
            if (!ask_holders(key, std::min(count, max_asked_holders), now)) {
                auto const retry_after = m_rate.promise_retry(key, now);
                bool const has_holder = m_rate.is_holder() || !m_asked_holders.empty();
                return has_holder ? retry_after
                                  : std::max<std::chrono::nanoseconds>(retry_after, no_holder_retry_delay);
            }
        }
        std::unique_lock lock(m_mutex);
        m_received.wait_until(lock, deadline);
    }
}

void workspace_rates::give_back(workspace_row const& workspace) {
    if (workspace.requests_per_second > 0) {
        expire_part();
        m_rate.give_back(limit_key_of(workspace.name), clock::now());
    }
}

bool workspace_rates::ask_holders(std::optional<shared_rate::limit_key> key, std::size_t max_count,
                                  clock::time_point now) {
    std::vector<endpoint const*> chosen;
    for (std::size_t i = 0; i < m_asked_holders.size() && chosen.size() < max_count; ++i) {
        auto const& holder = m_asked_holders[m_next_holder++ % m_asked_holders.size()];
        auto const holder_key = holder_key_of(holder);
        if (key ? m_rate.needs_tokens_of(holder_key, *key, now) : m_rate.needs_tokens_of(holder_key, now)) {
            chosen.push_back(&holder);
        }
    }
    bool has_asked = false;
    for (std::size_t i = 0; i < chosen.size(); ++i) {
        auto const request_id = thread_random()();
        auto const asked = m_rate.ask(holder_key_of(*chosen[i]), request_id, now, chosen.size() - i);
        if (asked.empty()) {
            continue;
        }
        has_asked = true;
        m_asked_at = now;
        m_send({.kind = datagram_kind::token_transfer,
                .tokens = {.is_answer = false,
                           .from_holder = m_rate.is_holder(),
                           .request_id = request_id,
                           .amounts = to_units(asked)}},
               *chosen[i]);
    }
    return has_asked;
}

void workspace_rates::send_requests() {
    expire_part();
    auto const now = clock::now();
    if (!m_rate.empty() && now - m_asked_at >= request_interval && m_rate.needs_tokens(now)) {
        static_cast<void>(ask_holders(std::nullopt, 1, now));
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
    expire_part();
    auto const given = m_rate.give(amounts, transfer.from_holder, now);
    m_send({.kind = datagram_kind::token_transfer,
            .tokens = {.is_answer = true, .request_id = transfer.request_id, .amounts = to_units(given)}},
           sender);
}

double workspace_rates::balance(workspace_row const& workspace) const {
    return m_rate.balance(limit_key_of(workspace.name), clock::now());
}

} // namespace pomelospread
