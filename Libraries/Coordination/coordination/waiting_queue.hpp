// Requests that wait in the entry instance for a free place at a target.
#pragma once

#include "coordination/target_pool.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelospread {

/// Earliest deadline first within a customer, customers in turn, so that one customer's burst delays mostly
/// itself. Not thread-safe. `Waiter` is a handle that the owner uses to wake the request.
template<class Waiter>
class waiting_queue {
public:
    explicit waiting_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// False when the queue is full; the request is to be refused as not run.
    [[nodiscard]] bool push(std::string const& customer, nanoseconds deadline, Waiter waiter) {
        if (m_size >= m_capacity) {
            return false;
        }
        auto [found, added] = m_customers.try_emplace(customer);
        if (added) {
            m_turns.push_back(customer);
        }
        found->second.emplace(deadline, std::move(waiter));
        ++m_size;
        return true;
    }

    /// Takes the request to serve next, whether or not its deadline has passed.
    [[nodiscard]] std::optional<Waiter> pop() {
        if (m_size == 0) {
            return std::nullopt;
        }
        auto customer = std::move(m_turns.front());
        m_turns.pop_front();
        auto const found = m_customers.find(customer);
        auto first = found->second.begin();
        auto waiter = std::move(first->second);
        found->second.erase(first);
        --m_size;
        if (found->second.empty()) {
            m_customers.erase(found);
        } else {
            m_turns.push_back(std::move(customer));
        }
        return waiter;
    }

    /// Removes a waiter that gave up; false when it had been popped.
    bool remove(std::string const& customer, Waiter const& waiter) {
        auto const found = m_customers.find(customer);
        if (found == m_customers.end()) {
            return false;
        }
        auto& waiting = found->second;
        auto const position = std::find_if(waiting.begin(), waiting.end(),
                                           [&](auto const& entry) { return entry.second == waiter; });
        if (position == waiting.end()) {
            return false;
        }
        waiting.erase(position);
        --m_size;
        if (waiting.empty()) {
            m_customers.erase(found);
            m_turns.erase(std::find(m_turns.begin(), m_turns.end(), customer));
        }
        return true;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::map<std::string, std::multimap<nanoseconds, Waiter>> m_customers;
    std::deque<std::string> m_turns;
};

} // namespace pomelospread
