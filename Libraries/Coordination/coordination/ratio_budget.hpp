// A budget that limits extra attempts to a share of the first attempts.
#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

namespace pomelospread {

/// Each first attempt deposits a share of a unit, and each extra attempt withdraws a unit (retry budgets:
/// Beyer et al., "Site Reliability Engineering", chapter 21). Thread-safe and lock-free.
class ratio_budget {
public:
    /// `share` is the highest ratio of extra attempts to first attempts; `burst` is the highest balance, in
    /// units.
    ratio_budget(double share, double burst) noexcept
        : m_deposit(static_cast<std::int64_t>(share * fractions_per_unit)),
          m_max_balance(static_cast<std::int64_t>(burst * fractions_per_unit)) {}

    /// Records a first attempt.
    void deposit() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        auto const max_balance = m_max_balance.load(std::memory_order_relaxed);
        while (balance < max_balance &&
               !m_balance.compare_exchange_weak(balance, std::min(balance + m_deposit, max_balance),
                                                std::memory_order_relaxed)) {
        }
    }

    /// Changes the highest balance; a balance above it is reduced at once.
    void set_burst(double burst) noexcept {
        auto const max_balance = static_cast<std::int64_t>(burst * fractions_per_unit);
        m_max_balance.store(max_balance, std::memory_order_relaxed);
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance > max_balance &&
               !m_balance.compare_exchange_weak(balance, max_balance, std::memory_order_relaxed)) {
        }
    }
    /// Units that can be withdrawn now.
    [[nodiscard]] double balance() const noexcept {
        return static_cast<double>(m_balance.load(std::memory_order_relaxed)) / fractions_per_unit;
    }

    /// Withdraws one unit for an extra attempt; false when less than a unit is left.
    [[nodiscard]] bool try_withdraw() noexcept {
        auto balance = m_balance.load(std::memory_order_relaxed);
        while (balance >= fractions_per_unit) {
            if (m_balance.compare_exchange_weak(balance, balance - fractions_per_unit,
                                                std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int64_t fractions_per_unit = 1'000'000;

    std::int64_t m_deposit;
    std::atomic<std::int64_t> m_max_balance;
    std::atomic<std::int64_t> m_balance{0}; ///< Starts at zero, so that the share holds from the start.
};

} // namespace pomelospread
