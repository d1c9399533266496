// Instances that keep the division of the fleet's rates, with a store and a network that fail, in virtual
// time.
#pragma once

#include "base/errors.hpp"
#include "coordination/rate_division_keeper.hpp"

#include <algorithm>
#include <memory>
#include <random>

namespace pomelospread {

class rate_division_model {
public:
    using time_point = boot_clock::time_point;

    struct member {
        std::unique_ptr<rate_division_keeper> keeper; ///< None while the process is down.
        bool is_home = true;
        bool is_leaving = false;
        bool is_suspended = false;
        bool has_store = true;
        unsigned side = 0; ///< Instances of different sides of a partition do not reach each other.
        time_point next_round;
    };

    explicit rate_division_model(std::size_t count, unsigned seed = 1) : m_random(seed), m_members(count) {
        for (std::size_t i = 0; i < count; ++i) {
            start(i);
        }
    }

    static endpoint address_of(std::size_t i) { return {"10.0.0." + std::to_string(i + 1), 7200}; }

    void start(std::size_t i) {
        auto& self = m_members[i];
        self.is_leaving = self.is_suspended = false;
        self.keeper = std::make_unique<rate_division_keeper>(
            address_of(i),
            rate_division_calls{
                .exchange = [this, i](auto const& peers,
                                      auto const& state) { return exchange(i, peers, state); },
                .read = [this, i] { return read(i); },
                .write = [this, i](auto const& next, auto expected) { return write(i, next, expected); },
                .part_changed = [] {},
                .now = [this] { return m_now; }});
        self.next_round = m_now + random_up_to(std::chrono::milliseconds(300));
    }
    void kill(std::size_t i) { m_members[i].keeper.reset(); }
    member& at(std::size_t i) { return m_members[i]; }

    /// Plays for a time, and checks the sum of all parts at every step.
    void run(std::chrono::milliseconds duration) {
        for (auto const end = m_now + duration; m_now < end;) {
            advance(std::chrono::milliseconds(10));
            for (std::size_t i = 0; i < m_members.size(); ++i) {
                auto& self = m_members[i];
                if (self.keeper && !self.is_suspended && m_now >= self.next_round) {
                    self.next_round = m_now + std::chrono::milliseconds(1000) +
                                      random_up_to(std::chrono::milliseconds(250));
                    self.keeper->run_round(fleet_of(i));
                }
            }
        }
    }
    /// The parts that all instances use now, of the whole.
    [[nodiscard]] double parts_in_use() const {
        double sum = 0;
        for (auto const& each : m_members) {
            if (each.keeper && !each.is_suspended && m_now < each.keeper->valid_until()) {
                auto const part = each.keeper->part();
                sum += part.is_held ? 1.0 / static_cast<double>(part.divisor) : 0.0;
            }
        }
        return sum;
    }
    [[nodiscard]] double most_in_use() const { return m_most; }
    [[nodiscard]] rate_division const& stored() const { return m_stored; }

    std::chrono::milliseconds store_delay{4};
    bool needs_tokens = true;
    unsigned lost_answers_percent = 0;   ///< Of writes, which are done.
    unsigned late_writes_percent = 0;    ///< Of writes, which are done 1 to 6 s later if they still apply.
    unsigned lost_exchanges_percent = 0; ///< Of answers of peers.
    std::size_t writes = 0, reads = 0;

private:
    struct late_write {
        time_point at;
        rate_division next;
        store_version expected;
    };

    std::chrono::milliseconds random_up_to(std::chrono::milliseconds limit) {
        return std::chrono::milliseconds(m_random() % static_cast<unsigned>(limit.count() + 1));
    }
    bool happens(unsigned percent) { return m_random() % 100 < percent; }

    rate_division_fleet fleet_of(std::size_t i) const {
        rate_division_fleet fleet{.homes = {},
                                  .leaving = {},
                                  .peers = {},
                                  .has_read_members = true,
                                  .needs_tokens = needs_tokens,
                                  .is_alone = true};
        for (std::size_t other = 0; other < m_members.size(); ++other) {
            auto const& each = m_members[other];
            bool const is_seen = other == i || (each.keeper && !each.is_suspended && reaches(i, other));
            fleet.is_alone = fleet.is_alone && (other == i || !is_seen);
            if (is_seen && each.is_leaving) {
                fleet.leaving.insert(address_of(other));
            } else if (is_seen && each.is_home) {
                fleet.homes.insert(address_of(other));
            }
        }
        return fleet;
    }
    bool reaches(std::size_t from, std::size_t to) const {
        return m_members[from].side == m_members[to].side;
    }

    std::map<endpoint, rate_division_state> exchange(std::size_t from, std::vector<endpoint> const& peers,
                                                     rate_division_state const& state) {
        std::map<endpoint, rate_division_state> answers;
        for (std::size_t to = 0; to < m_members.size(); ++to) {
            auto& peer = m_members[to];
            bool const is_asked = to != from && std::ranges::find(peers, address_of(to)) != peers.end();
            if (!is_asked || !peer.keeper || peer.is_suspended || !reaches(from, to)) {
                continue;
            }
            auto const answered = peer.keeper->answer(address_of(from), state);
            if (!happens(lost_exchanges_percent)) {
                answers.emplace(address_of(to), answered);
            }
        }
        advance(std::chrono::milliseconds(2)); // The answers are known later than they were given.
        return answers;
    }
    rate_division read(std::size_t from) {
        ++reads;
        if (!m_members[from].has_store) {
            advance(std::chrono::milliseconds(20));
            throw platform_unavailable("the store is not reached");
        }
        auto const result = m_stored;
        advance(store_delay);
        return result;
    }
    bool write(std::size_t from, rate_division const& next, store_version expected) {
        ++writes;
        if (!m_members[from].has_store) {
            throw platform_unavailable("the store is not reached");
        }
        if (happens(late_writes_percent)) {
            auto const delay =
                std::chrono::milliseconds(1000) + random_up_to(std::chrono::milliseconds(5000));
            m_late_writes.push_back({m_now + delay, next, expected});
            throw platform_outcome_unknown("the answer is lost");
        }
        bool const is_done = apply(next, expected);
        advance(store_delay);
        if (happens(lost_answers_percent)) {
            throw platform_outcome_unknown("the answer is lost");
        }
        return is_done;
    }
    bool apply(rate_division next, store_version expected) {
        if (m_stored.version != expected) {
            return false;
        }
        next.version = {.era = 0, .number = ++m_last_version};
        m_stored = std::move(next);
        return true;
    }
    void advance(std::chrono::milliseconds time) {
        for (; time.count() > 0; time -= std::chrono::milliseconds(2)) {
            m_now += std::chrono::milliseconds(2);
            std::erase_if(m_late_writes, [this](late_write const& each) {
                return m_now >= each.at && (static_cast<void>(apply(each.next, each.expected)), true);
            });
            m_most = std::max(m_most, parts_in_use());
        }
    }

    std::mt19937_64 m_random;
    time_point m_now{std::chrono::seconds(1000)};
    std::vector<member> m_members;
    rate_division m_stored;
    std::uint64_t m_last_version = 100;
    std::vector<late_write> m_late_writes;
    double m_most = 0;
};

} // namespace pomelospread
