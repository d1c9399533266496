// Budgets that bound extra work relative to the work that was asked for.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace pomelospread {

/// A budget that earns a share of a unit per first try and spends a unit per extra try (retry
/// budgets: Beyer et al., "Site Reliability Engineering", chapter 21). Thread-safe and lock-free.
class ratio_budget {
public:
    /// `share` is the largest ratio of extra to first tries; `burst` bounds what can be saved up.
    ratio_budget(double share, double burst) noexcept
        : m_earned(static_cast<std::int64_t>(share * unit)),
          m_capacity(static_cast<std::int64_t>(burst * unit)) {}

    /// A first try was made.
    void earn() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        auto const capacity = m_capacity.load(std::memory_order_relaxed);
        while (balance < capacity &&
               !m_balance.compare_exchange_weak(balance, std::min(balance + m_earned, capacity),
                                                std::memory_order_relaxed)) {
        }
    }

    /// Changes what can be saved up; more than that is lost at once.
    void set_burst(double burst) noexcept {
        auto const capacity = static_cast<std::int64_t>(burst * unit);
        m_capacity.store(capacity, std::memory_order_relaxed);
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance > capacity &&
               !m_balance.compare_exchange_weak(balance, capacity, std::memory_order_relaxed)) {
        }
    }
    /// Units that can be spent now.
    [[nodiscard]] double balance() const noexcept {
        return static_cast<double>(m_balance.load(std::memory_order_relaxed)) / unit;
    }

    /// Takes one unit for an extra try; false when the budget is spent.
    [[nodiscard]] bool try_spend() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance >= unit) {
            if (m_balance.compare_exchange_weak(balance, balance - unit, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int64_t unit = 1'000'000;

    std::int64_t m_earned;
    std::atomic<std::int64_t> m_capacity;
    std::atomic<std::int64_t> m_balance{0}; ///< Starts empty, so that the share holds from the start.
};

} // namespace pomelospread
