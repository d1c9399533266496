// The requests that wait in an instance for a permit of a target.
#pragma once

#include "coordination/group_turns.hpp"
#include "coordination/target_pool.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pomelospread {

/// Serves the customers round robin and the requests of each by earliest deadline first, so that a burst of
/// one customer delays mostly that customer's own requests. Not thread-safe. `Waiter` is a handle by which
/// the owner wakes the request.
template<class Waiter>
class customer_fair_queue {
public:
    explicit customer_fair_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// Returns false when the queue is full; the request must then be refused as not run.
    [[nodiscard]] bool push(std::string const& customer, nanoseconds deadline, Waiter waiter) {
        if (m_size >= m_capacity) {
            return false;
        }
        m_turns.add(customer);
        m_waiters_by_customer[customer].emplace(deadline, std::move(waiter));
        ++m_size;
        return true;
    }

    /// Removes and returns the request to serve next, whether or not its deadline has passed.
    [[nodiscard]] std::optional<Waiter> pop() {
        if (m_size == 0) {
            return std::nullopt;
        }
        auto const found = m_waiters_by_customer.find(m_turns.next());
        m_turns.serve(found->first);
        auto first = found->second.begin();
        auto waiter = std::move(first->second);
        found->second.erase(first);
        --m_size;
        if (found->second.empty()) {
            m_waiters_by_customer.erase(found);
        }
        return waiter;
    }

    /// Removes a request that no longer waits; false when it had been popped.
    bool remove(std::string const& customer, Waiter const& waiter) {
        auto const found = m_waiters_by_customer.find(customer);
        if (found == m_waiters_by_customer.end()) {
            return false;
        }
        auto& waiting = found->second;
        auto const position = std::find_if(waiting.begin(), waiting.end(),
                                           [&](auto const& entry) { return entry.second == waiter; });
        if (position == waiting.end()) {
            return false;
        }
        m_turns.remove(customer);
        waiting.erase(position);
        --m_size;
        if (waiting.empty()) {
            m_waiters_by_customer.erase(found);
        }
        return true;
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    std::size_t m_capacity;
    std::size_t m_size = 0;
    std::map<std::string, std::multimap<nanoseconds, Waiter>> m_waiters_by_customer;
    group_turns<std::string> m_turns;
};

} // namespace pomelospread
