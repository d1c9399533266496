// Tracks which share of each group's requests is admitted under overload, so that no group is starved by the
// order of priorities or by a short target latency, nor displaced by another group's burst.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace pomelospread {

struct group_share_policy {
    /// A group is underserved when the admitted share of its requests is below this multiple of the share of
    /// all requests. With less than half, a group could be given up entirely in a long overload; with one,
    /// priorities would have no effect.
    double min_relative_share = 0.5;
    /// Half-life of the recent counts: overload and its end are noticed within a few seconds.
    std::chrono::milliseconds half_life{2000};
    /// Fewer arrivals than this, decayed, say nothing about a group.
    double min_arrivals = 3.0;
    /// Half-life of the usual counts; zero: none are kept.
    std::chrono::milliseconds usual_half_life{0};
    /// A group bursts when its recent arrivals exceed this multiple of its usual ones by more than
    /// `min_arrivals`. The recent arrivals of a steady group of few requests vary by nearly as much.
    double min_burst_multiple = 2.0;
};

/// With this half-life, a workspace of three requests a minute has enough arrivals to be judged by them.
inline constexpr group_share_policy workspace_share_policy{.usual_half_life = std::chrono::seconds(60)};

/// Counts the requests of one pool by group: by route or by workspace, given as a hash of its name. Not
/// thread-safe; time is passed in.
class group_shares {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit group_shares(group_share_policy policy = {}) : m_policy(policy) {}

    void record_arrival(std::uint32_t group, time_point now);
    void record_admission(std::uint32_t group, time_point now);
    /// Whether the group is admitted less often than `min_relative_share` of all requests. A group with few
    /// recent arrivals is judged by its usual counts, if they are kept.
    [[nodiscard]] bool is_underserved(std::uint32_t group, time_point now) const;
    /// Whether the group bursts and more of its requests were admitted recently than usually arrive. False
    /// while no usual counts are kept.
    [[nodiscard]] bool is_over_usual(std::uint32_t group, time_point now) const;

private:
    struct counts {
        double arrived = 0;
        double admitted = 0;
        time_point updated_at;
    };
    struct group_counts {
        counts recent;
        counts usual;
        time_point first_seen;
        time_point last_arrival;
        double usual_weight = 1; ///< Of the last arrival in the usual counts.
    };

    static constexpr std::size_t min_groups_to_forget = 1024;

    [[nodiscard]] static counts decayed(counts const& value, std::chrono::milliseconds half_life,
                                        time_point now);
    [[nodiscard]] static counts sum(counts value, double arrived, double admitted);
    [[nodiscard]] bool keeps_usual() const { return m_policy.usual_half_life.count() > 0; }
    [[nodiscard]] bool is_underserved(counts const& own, counts const& total) const;
    /// Recent arrivals that are usual of the group.
    [[nodiscard]] double usual_recent(group_counts const& own, time_point now) const;
    /// Recent arrivals above which the group bursts.
    [[nodiscard]] double burst_limit(group_counts const& own, time_point now) const;
    /// Weight of an arrival in the usual counts. Those of a burst count as if they came at the limit's rate:
    /// 5 s at 8 times the usual rate would otherwise be usual at their end, while a lasting increase is
    /// within a few minutes.
    [[nodiscard]] double usual_weight(group_counts const& own, time_point now) const;
    void add(std::uint32_t group, double arrived, double admitted, time_point now);
    void forget_inactive(time_point now);

    group_share_policy m_policy;
    group_counts m_total;
    std::map<std::uint32_t, group_counts> m_groups;
    std::size_t m_forget_at = min_groups_to_forget;
};

} // namespace pomelospread
