// A fleet that shares rates without message losses, in virtual time: what the callers and the network get.
#pragma once

#include "coordination/shared_rate.hpp"

#include <algorithm>
#include <functional>
#include <random>

namespace pomelospread {

struct rate_fleet_options {
    rate_limit limit;
    double load = 0.95;      ///< Of the limit.
    std::size_t entries = 6; ///< Instances that callers use, beginning with number `first_entry`.
    std::size_t first_entry = 0;
    std::size_t instances = 6;
    std::size_t holders = 6;
    std::size_t silent_holders = 0;  ///< The last ones; they answer nothing, and no caller uses them.
    std::chrono::seconds ignored{2}; ///< The start, which the shares leave out.
    std::chrono::seconds duration{602};
    std::size_t limits = 1;
};

struct rate_fleet_result {
    double lost_share = 0, one_bucket_lost_share = 0, admitted_per_second = 0, bytes_per_second = 0;
};

/// Plays a fleet without message losses, whose instances exchange tokens as `workspace_rates` does.
class rate_fleet_play {
public:
    explicit rate_fleet_play(rate_fleet_options const& options) : m_options(options) {
        std::map<shared_rate::limit_key, rate_limit> limits;
        for (std::size_t key = 0; key < options.limits; ++key) {
            limits[key] = options.limit;
        }
        for (std::size_t i = 0; i < options.instances; ++i) {
            m_instances.emplace_back().next_holder = m_random() % options.holders;
            m_instances[i].rate.set_holders(options.holders, i < options.holders, m_now);
            m_instances[i].rate.set_limits(limits, m_now);
            at(m_now + std::chrono::microseconds(50000 * i / options.instances), [this, i] { tick(i); });
        }
        for (std::size_t key = 0; key < options.limits; ++key) {
            at(next_arrival(), [this, key] { arrive(key); });
        }
    }

    rate_fleet_result run() {
        while (!m_events.empty() && m_events.begin()->first < m_start + m_options.duration) {
            auto const event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        return {m_lost / std::max(1.0, m_arrived), m_bucket_lost / std::max(1.0, m_arrived),
                (m_arrived - m_lost) / seconds(m_options.duration - m_options.ignored),
                m_bytes / seconds(m_options.duration)};
    }

private:
    static double seconds(std::chrono::nanoseconds duration) {
        return std::chrono::duration<double>(duration).count();
    }

    struct request {
        shared_rate::limit_key key;
        shared_rate::time_point deadline;
        bool has_asked = false;
    };
    struct member {
        shared_rate rate;
        std::size_t next_holder = 0;
        std::vector<request> waiting;
    };

    void at(shared_rate::time_point time, std::function<void()> action) {
        m_events.emplace(time, std::move(action));
    }
    shared_rate::time_point next_arrival() {
        std::exponential_distribution<double> gap(m_options.limit.per_second * m_options.load);
        return m_now + std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * gap(m_random)));
    }
    void arrive(shared_rate::limit_key key) {
        at(next_arrival(), [this, key] { arrive(key); });
        auto const i = m_options.first_entry + m_random() % m_options.entries;
        m_instances[i].rate.record_arrival(key, m_now);
        m_arrived += is_counted() ? 1 : 0;
        auto& [tokens, updated_at] = m_buckets.try_emplace(key, 0.0, m_start).first->second;
        tokens = std::min(m_options.limit.burst + shared_rate_policy{}.fleet_slack,
                          tokens + m_options.limit.per_second * seconds(m_now - updated_at));
        updated_at = m_now;
        tokens >= 1 ? tokens -= 1 : m_bucket_lost += is_counted() ? 1 : 0;
        request arrived{key, m_now + std::chrono::milliseconds(15)};
        if (!admit(i, arrived)) {
            m_instances[i].waiting.push_back(arrived);
            at(arrived.deadline, [this, i] { serve_waiting(i); });
        }
    }
    /// Returns false while the request waits for tokens.
    bool admit(std::size_t i, request& each) {
        auto& self = m_instances[i];
        if (self.rate.try_take(each.key, m_now)) {
            return true;
        }
        if (m_now < each.deadline && self.rate.is_awaiting(each.key, m_now)) {
            return false;
        }
        auto const count = std::exchange(each.has_asked, true) ? m_options.holders
                                                               : self.rate.holders_to_ask(each.key, m_now);
        if (m_now < each.deadline && ask_next(i, std::min<std::size_t>(5, count), each.key)) {
            return false;
        }
        static_cast<void>(self.rate.promise_retry(each.key, m_now));
        m_lost += is_counted() ? 1 : 0;
        return true;
    }
    void serve_waiting(std::size_t i) {
        std::erase_if(m_instances[i].waiting, [&](request& each) { return admit(i, each); });
    }
    /// Asks up to this many holders at once, each for an equal part.
    bool ask_next(std::size_t i, std::size_t count, std::optional<shared_rate::limit_key> key) {
        auto& self = m_instances[i];
        std::vector<std::size_t> chosen;
        for (std::size_t tries = 0; tries < m_options.holders && chosen.size() < count; ++tries) {
            auto const holder = self.next_holder++ % m_options.holders;
            if (holder != i && (key ? self.rate.needs_tokens_of(holder, *key, m_now)
                                    : self.rate.needs_tokens_of(holder, m_now))) {
                chosen.push_back(holder);
            }
        }
        for (auto left = chosen.size(); left > 0; --left) {
            auto const holder = chosen[chosen.size() - left];
            auto const asked = self.rate.ask(holder, ++m_last_request, m_now, left);
            if (!asked.empty()) {
                send(asked.size(),
                     [this, i, holder, asked, id = m_last_request] { answer(i, holder, asked, id); });
            }
        }
        return !chosen.empty();
    }
    void answer(std::size_t i, std::size_t holder, std::vector<shared_rate::amount> const& asked,
                std::uint64_t id) {
        if (holder >= m_options.holders - m_options.silent_holders) {
            return;
        }
        auto const given = m_instances[holder].rate.give(asked, i < m_options.holders, m_now);
        send(given.size(), [this, i, given, id] {
            m_instances[i].rate.receive(id, given, m_now);
            serve_waiting(i);
        });
    }
    void tick(std::size_t i) {
        at(m_now + std::chrono::milliseconds(50), [this, i] { tick(i); });
        if (m_instances[i].rate.needs_tokens(m_now)) {
            static_cast<void>(ask_next(i, 1, std::nullopt));
        }
    }
    void send(std::size_t amounts, std::function<void()> deliver) {
        m_bytes += 65.0 + 12.0 * static_cast<double>(amounts); // As encoded, with the headers of IP and UDP.
        at(m_now + std::chrono::milliseconds(3), std::move(deliver));
    }
    [[nodiscard]] bool is_counted() const { return m_now >= m_start + m_options.ignored; }

    rate_fleet_options m_options;
    shared_rate::time_point m_start{std::chrono::seconds(100)}, m_now = m_start;
    std::mt19937_64 m_random{20261206};
    std::multimap<shared_rate::time_point, std::function<void()>> m_events;
    std::vector<member> m_instances;
    std::uint64_t m_last_request = 0;
    /// What one bucket for the entire fleet would admit, with its tokens and the time of them.
    std::map<shared_rate::limit_key, std::pair<double, shared_rate::time_point>> m_buckets;
    double m_bucket_lost = 0;
    double m_arrived = 0, m_lost = 0, m_bytes = 0;
};

} // namespace pomelospread
