#include "coordination/target_search.hpp"

#include <algorithm>
#include <cmath>

namespace pomelospread {

namespace {

/// Taken for the time of a round until the first one of the search has ended: a round trip within a zone.
constexpr double first_round_ms = 1.0;

} // namespace

bool target_search::is_known_good(search_candidate const& candidate) const {
    return candidate.is_idle && candidate.report_age_ms >= 0 &&
           candidate.report_age_ms < m_policy.fresh_report_max_age.count() &&
           candidate.slowdown <= m_policy.max_slowdown;
}

bool target_search::is_worth_a_round(double best_ms, double undisturbed_ms, double good_share,
                                     time_point now) const {
    auto const miss_probability =
        std::pow(1.0 - std::clamp(good_share, 0.0, 1.0), static_cast<double>(m_policy.probes_per_round));
    auto const saving_ms = (best_ms - undisturbed_ms) * (1.0 - miss_probability);
    auto const round_ms = m_rounds == 0
                              ? first_round_ms
                              : std::chrono::duration<double, std::milli>(now - m_started_at).count() /
                                    static_cast<double>(m_rounds);
    return saving_ms > round_ms;
}

std::vector<std::size_t> target_search::next_round(std::span<search_candidate const> candidates,
                                                   double good_share, time_point now, random_source& random) {
    if (candidates.empty() || m_rounds >= m_policy.max_rounds || now >= m_ends_at ||
        std::ranges::any_of(candidates, [this](auto const& each) { return is_known_good(each); })) {
        return {};
    }
    auto const best_ms =
        std::ranges::min_element(candidates, {}, &search_candidate::expected_ms)->expected_ms;
    auto const is_unknown = [this](search_candidate const& each) {
        return each.is_idle && each.can_be_probed &&
               (each.report_age_ms < 0 || each.report_age_ms >= m_policy.fresh_report_max_age.count());
    };
    for (bool const own_zone : {true, false}) {
        std::vector<search_candidate const*> probed;
        for (auto const& each : candidates) {
            if (each.is_in_own_zone == own_zone && is_unknown(each) &&
                is_worth_a_round(best_ms, each.undisturbed_ms, good_share, now)) {
                probed.push_back(&each);
            }
        }
        if (probed.empty()) {
            continue;
        }
        // At random among targets that look alike, so that homes with the same data probe different ones.
        std::ranges::shuffle(probed, random);
        auto const count = std::min(probed.size(), m_policy.probes_per_round);
        std::ranges::partial_sort(probed, probed.begin() + static_cast<std::ptrdiff_t>(count), {},
                                  [](auto const* each) { return each->undisturbed_ms; });
        std::vector<std::size_t> indices;
        std::ranges::transform(probed.begin(), probed.begin() + static_cast<std::ptrdiff_t>(count),
                               std::back_inserter(indices), &search_candidate::index);
        ++m_rounds;
        return indices;
    }
    return {};
}

} // namespace pomelospread
