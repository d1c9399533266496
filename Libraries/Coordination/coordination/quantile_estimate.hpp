// An estimate of a latency quantile that forgets old observations.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>

namespace pomelospread {

/// Time since an arbitrary start, in nanoseconds.
using nanoseconds = std::chrono::nanoseconds;

/// Estimates a latency quantile in steps (Ma, Muthukrishnan and Sandler, "Frugal streaming for estimating
/// quantiles", 2013) that are proportional to the estimate. Thread-safe and lock-free; concurrent updates may
/// lose a step.
class quantile_estimate {
public:
    explicit quantile_estimate(double quantile) noexcept : m_quantile(quantile) {}

    void observe(nanoseconds latency) noexcept;
    /// Zero until the first observation.
    [[nodiscard]] nanoseconds value() const noexcept {
        return nanoseconds(m_estimate.load(std::memory_order_relaxed));
    }

private:
    double m_quantile;
    std::atomic<std::int64_t> m_estimate{0};
};

} // namespace pomelospread
