// Tracks which share of each route's requests is admitted under overload, so that no route is starved by the
// order of priorities or by a short target latency.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>

namespace pomelospread {

struct route_share_policy {
    /// A route is underserved when the admitted share of its requests is below this multiple of the share of
    /// all requests. With less than half, a route could be given up entirely in a long overload; with one,
    /// priorities would have no effect.
    double min_relative_share = 0.5;
    /// Half-life of the counts: overload and its end are noticed within a few seconds.
    std::chrono::milliseconds half_life{2000};
    /// Fewer arrivals than this, decayed, say nothing about a route.
    double min_arrivals = 3.0;
};

/// Counts the requests of one pool by route, which is given as a hash of its name. Not thread-safe; time is
/// passed in.
class route_shares {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit route_shares(route_share_policy policy = {}) : m_policy(policy) {}

    void record_arrival(std::uint32_t route, time_point now);
    void record_admission(std::uint32_t route, time_point now);
    [[nodiscard]] bool is_underserved(std::uint32_t route, time_point now) const;

private:
    struct counts {
        double arrived = 0;
        double admitted = 0;
        time_point updated_at;
    };

    static constexpr std::size_t max_routes = 1024;

    [[nodiscard]] counts decayed(counts const& value, time_point now) const;
    void add(std::uint32_t route, double arrived, double admitted, time_point now);

    route_share_policy m_policy;
    counts m_total;
    std::map<std::uint32_t, counts> m_routes;
};

} // namespace pomelospread
