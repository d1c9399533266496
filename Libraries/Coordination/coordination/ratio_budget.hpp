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
        : m_deposit_units(static_cast<std::int64_t>(share * balance_units_per_token)),
          m_burst_units(static_cast<std::int64_t>(burst * balance_units_per_token)) {}

    /// A first try was made.
    void deposit() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        auto const capacity = m_burst_units.load(std::memory_order_relaxed);
        while (balance < capacity &&
               !m_balance.compare_exchange_weak(balance, std::min(balance + m_deposit_units, capacity),
                                                std::memory_order_relaxed)) {
        }
    }

    /// Changes what can be saved up; more than that is lost at once.
    void set_burst(double burst) noexcept {
        auto const capacity = static_cast<std::int64_t>(burst * balance_units_per_token);
        m_burst_units.store(capacity, std::memory_order_relaxed);
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance > capacity &&
               !m_balance.compare_exchange_weak(balance, capacity, std::memory_order_relaxed)) {
        }
    }
    /// Units that can be spent now.
    [[nodiscard]] double balance() const noexcept {
        return static_cast<double>(m_balance.load(std::memory_order_relaxed)) / balance_units_per_token;
    }

    /// Takes one unit for an extra try; false when the budget is spent.
    [[nodiscard]] bool try_withdraw() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance >= balance_units_per_token) {
            if (m_balance.compare_exchange_weak(balance, balance - balance_units_per_token,
                                                std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int64_t balance_units_per_token = 1'000'000;

    std::int64_t m_deposit_units;
    std::atomic<std::int64_t> m_burst_units;
    std::atomic<std::int64_t> m_balance{0}; ///< Starts empty, so that the share holds from the start.
};

} // namespace pomelospread
