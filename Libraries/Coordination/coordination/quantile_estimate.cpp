#include "coordination/quantile_estimate.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr double quantile_step = 0.05;

} // namespace

void quantile_estimate::observe(nanoseconds latency) noexcept {
    auto const estimate = m_estimate.load(std::memory_order_relaxed);
    if (estimate == 0) {
        m_estimate.store(latency.count(), std::memory_order_relaxed);
        return;
    }
    auto const step = static_cast<double>(estimate) * quantile_step;
    bool const above = latency.count() > estimate;
    auto const change = above ? step * m_quantile : -step * (1.0 - m_quantile);
    m_estimate.store(std::max<std::int64_t>(1, estimate + static_cast<std::int64_t>(change)),
                     std::memory_order_relaxed);
}

} // namespace pomelospread
