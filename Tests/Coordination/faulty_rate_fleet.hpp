// A fleet that shares a rate under faults, with an oracle of the bound.
#pragma once

#include "coordination/shared_rate.hpp"

#include <algorithm>
#include <utility>

namespace pomelospread {

inline constexpr shared_rate::limit_key only_limit_key = 7;

inline shared_rate make_rate_instance(rate_limit limit, std::size_t holders, bool is_holder,
                                      shared_rate::time_point now) {
    shared_rate result;
    result.set_holders(holders, is_holder, now);
    result.set_limits({{only_limit_key, limit}}, now);
    return result;
}

/// Instances that see the fleet differently, and messages that arrive in any order, often or never. Its
/// oracle is one token bucket with the rates and capacities that the instances have by their own views: it is
/// never empty exactly if no window has more requests than its rate and the sum of the capacities.
class faulty_rate_fleet {
public:
    struct action {
        unsigned kind, instance, value;
    };
    static constexpr unsigned kind_count = 15;

    explicit faulty_rate_fleet(rate_limit limit) : m_limit(limit) {
        for (std::size_t i = 0; i < instance_count; ++i) {
            m_instances.push_back({make_rate_instance(limit, holder_count, i < holder_count, m_now),
                                   {holder_count, i < holder_count},
                                   {},
                                   m_now});
        }
        // Most faults show only when the holders are full.
        m_room = capacity();
        m_now += std::chrono::seconds(10);
    }

    void run(action const& next) {
        auto& self = m_instances[next.instance % instance_count];
        if (next.kind <= 1) {
            advance(std::chrono::milliseconds(next.value % 8 == 0 ? next.value * 10 : next.value % 40));
        } else if (next.kind <= 3) {
            for (unsigned i = 0; i < next.value % 16 && is_up(self); ++i) {
                self.rate.record_arrival(only_limit_key, m_now);
                m_room -= self.rate.try_take(only_limit_key, m_now) ? 1 : 0;
            }
        } else if (next.kind <= 6 && is_up(self)) {
            auto const holder = next.value % instance_count;
            if (auto asked = self.rate.ask(holder, ++m_last_request, m_now); !asked.empty()) {
                m_messages.push_back({next.instance % instance_count, holder, m_last_request,
                                      self.rate.is_holder(), false, asked});
            }
        } else if (next.kind <= 9 && !m_messages.empty()) {
            // One in four is delivered twice; a message that is never chosen is lost, or delayed for long.
            auto const chosen =
                m_messages.begin() + static_cast<std::ptrdiff_t>(next.value % m_messages.size());
            auto const received = *chosen;
            if (next.instance % 4 != 0) {
                m_messages.erase(chosen);
            }
            deliver(received);
        } else if (next.kind == 10 && next.value % 4 == 0) {
            self.rate = make_rate_instance(m_limit, self.view.holders, self.view.is_holder, m_now);
            self.up_at = m_now + min_restart_time;
        } else if (next.kind >= 12 && is_up(self)) {
            // Requests arrive, wait for tokens and are abandoned.
            for (unsigned i = 0; i <= next.value / 8; ++i) {
                self.rate.record_arrival(only_limit_key, m_now);
            }
            auto const holder = next.value % instance_count;
            auto const asked = self.rate.ask(holder, ++m_last_request, m_now);
            if (!asked.empty() && is_up(m_instances[holder])) {
                self.rate.receive(m_last_request,
                                  m_instances[holder].rate.give(asked, self.rate.is_holder(), m_now), m_now);
            }
        } else if (next.kind == 11 && next.value % 4 == 0) {
            self.earlier.push_back({m_now + capacity_delay, capacity_of(self.view)});
            self.view = {1 + next.value / 4 % 8, next.value % 3 != 0};
            self.rate.set_holders(self.view.holders, self.view.is_holder, m_now);
            m_room = std::min(m_room, capacity());
        }
    }
    /// Whether the bound holds also if every token is used and all messages arrive now.
    [[nodiscard]] bool holds_bound() const {
        auto rest = *this;
        rest.use_all_tokens();
        for (std::size_t i = 0; i < rest.m_messages.size(); ++i) {
            auto const received = rest.m_messages[i];
            rest.deliver(received);
        }
        rest.use_all_tokens();
        return rest.m_room > -1e-6;
    }

private:
    static constexpr std::size_t instance_count = 8;
    static constexpr std::size_t holder_count = 3;
    static constexpr auto min_restart_time = std::chrono::milliseconds(200);
    /// After an instance's capacity became smaller, tokens that it gave before may still be on the way.
    static constexpr auto capacity_delay = shared_rate_policy{}.transfer_timeout;

    struct fleet_view {
        std::size_t holders;
        bool is_holder;
    };
    struct member {
        shared_rate rate;
        fleet_view view;
        std::vector<std::pair<shared_rate::time_point, double>> earlier;
        shared_rate::time_point up_at;
    };
    struct message {
        std::size_t from, to;
        std::uint64_t request;
        bool from_holder;
        bool is_answer;
        std::vector<shared_rate::amount> amounts;
    };

    void use_all_tokens() {
        for (auto& each : m_instances) {
            while (is_up(each) && each.rate.try_take(only_limit_key, m_now)) {
                m_room -= 1;
            }
        }
    }
    [[nodiscard]] bool is_up(member const& each) const { return m_now >= each.up_at; }
    [[nodiscard]] double capacity_of(fleet_view const& view) const {
        auto const part =
            (m_limit.burst + shared_rate_policy{}.fleet_slack) / static_cast<double>(view.holders);
        return view.is_holder ? std::max(1.0, part) : 0.0;
    }
    [[nodiscard]] double capacity() const {
        double sum = 0;
        for (auto const& each : m_instances) {
            auto largest = capacity_of(each.view);
            for (auto const& [until, value] : each.earlier) {
                largest = m_now < until ? std::max(largest, value) : largest;
            }
            sum += largest;
        }
        return sum;
    }
    void advance(std::chrono::milliseconds time) {
        for (; time > std::chrono::milliseconds(0); time -= std::chrono::milliseconds(1)) {
            m_now += std::chrono::milliseconds(1);
            for (auto const& each : m_instances) {
                m_room += each.view.is_holder
                              ? m_limit.per_second / static_cast<double>(each.view.holders) / 1000
                              : 0;
            }
            m_room = std::min(m_room, capacity());
        }
    }
    void deliver(message const& received) {
        auto& receiver = m_instances[received.to];
        if (!is_up(receiver)) {
            return;
        }
        if (received.is_answer) {
            receiver.rate.receive(received.request, received.amounts, m_now);
        } else {
            m_messages.push_back({received.to, received.from, received.request, false, true,
                                  receiver.rate.give(received.amounts, received.from_holder, m_now)});
        }
    }

    rate_limit m_limit;
    shared_rate::time_point m_now{std::chrono::seconds(100)};
    std::vector<member> m_instances;
    std::vector<message> m_messages;
    std::uint64_t m_last_request = 0;
    double m_room = 0;
};

} // namespace pomelospread
