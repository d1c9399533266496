// Decides which targets to probe before one is chosen for a request, and when to stop.
#pragma once

#include "base/random.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace pomelospread {

struct target_search_policy {
    /// A younger report describes the target as it is now: neighbours on its machine start and stop several
    /// times a second, and requests of other instances arrive every few milliseconds.
    std::chrono::milliseconds fresh_report_max_age{5};
    std::size_t probes_per_round = 4;
    std::size_t max_rounds = 4;
    /// Targets of the own zone that make a search worth while: three rounds. In a smaller pool, the likely
    /// targets of all zones are probed once: with a search, a deployment with 2 to 7 targets in a zone lost
    /// 0.09 of its requests in time on its day of highest load.
    std::size_t min_near_targets = 12;
    /// A target whose slowdown is at most this one is not disturbed by its neighbours.
    double max_slowdown = 1.2;
    /// The search ends after this share of the typical service time; then a request without it would be
    /// nearly as far.
    double max_time_share = 0.1;
};

/// What is known of a target that may be chosen.
struct search_candidate {
    std::size_t index = 0; ///< The caller's name for it.
    double expected_ms = 0;
    double undisturbed_ms = 0; ///< What `expected_ms` would be if a probe showed it idle and undisturbed.
    double slowdown = 1.0;
    bool is_idle = false; ///< No request is known to be in flight there.
    bool is_in_own_zone = false;
    bool can_be_probed = true;       ///< Its limit of load probes is not used up.
    std::int64_t report_age_ms = -1; ///< -1 without a report.
};

/// The search of one request. It answers for pools whose targets have few slots and neighbours that change
/// their speed within milliseconds: of such a pool most targets are idle, but what is known of them is too
/// old to tell which of them are slow. Probes go to targets of the own zone first, and to the others only
/// when none of the own zone is worth a probe. Not thread-safe; time and randomness are passed in.
class target_search {
public:
    using time_point = std::chrono::steady_clock::time_point;

    target_search(target_search_policy const& policy, std::chrono::nanoseconds typical_service_time,
                  time_point now)
        : m_policy(policy), m_started_at(now),
          m_ends_at(now + std::chrono::nanoseconds(static_cast<std::int64_t>(
                              static_cast<double>(typical_service_time.count()) * policy.max_time_share))) {}

    /// The candidates to probe next, by their index; empty when the search is over. `good_share` is the share
    /// of probed targets that turn out to be idle and undisturbed.
    [[nodiscard]] std::vector<std::size_t> next_round(std::span<search_candidate const> candidates,
                                                      double good_share, time_point now,
                                                      random_source& random);
    /// Whether a report shows now that the candidate is idle and undisturbed.
    [[nodiscard]] bool is_known_good(search_candidate const& candidate) const;
    [[nodiscard]] std::size_t rounds() const noexcept { return m_rounds; }

private:
    /// Whether a round of probes to targets that would take `undisturbed_ms` saves more time than it takes.
    [[nodiscard]] bool is_worth_a_round(double best_ms, double undisturbed_ms, double good_share,
                                        time_point now) const;

    target_search_policy m_policy;
    time_point m_started_at;
    time_point m_ends_at;
    std::size_t m_rounds = 0;
};

} // namespace pomelospread
