// Decides whether a request whose response is slow is sent to a second target.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

namespace pomelospread {

enum class hedge_reason : std::uint8_t {
    target_slowed_down, ///< The target reported a slow moment since it got the request.
    outlived_peers,     ///< The attempt has taken longer than 95% of the pool's.
};

enum class hedge_action : std::uint8_t { send, look_again, never };

/// A request and the target that has it now.
struct hedged_request {
    std::chrono::nanoseconds age{};             ///< Since the arrival.
    std::chrono::nanoseconds time_since_sent{}; ///< Since the latest attempt was started.
    std::chrono::nanoseconds objective{};       ///< Since the arrival; a later response is not on time.
    std::chrono::nanoseconds deadline{};        ///< Since the arrival; a later response is useless.
    std::int64_t attempts = 1;                  ///< Targets that have or may have received the request.
    std::int64_t max_attempts = 1;
    std::optional<double> slowdown;        ///< As the target reported last; nothing without a report.
    std::chrono::nanoseconds report_age{}; ///< Of `slowdown`.
};

/// What the pool's requests take. All times are zero until a request was measured.
struct hedge_pool_times {
    std::chrono::nanoseconds typical_service_time{}; ///< Of a target without slowdown.
    std::chrono::nanoseconds mean_service_time{};    ///< With the slowdowns that the requests met.
    std::chrono::nanoseconds high_response_time{};   ///< 95th percentile.
    double mean_slowdown = 1.0;
};

/// The best other target, as far as it is known.
struct hedge_target {
    bool is_idle = false; ///< No request of any instance is known to be there.
    double slowdown = 1.0;
    std::chrono::nanoseconds report_age{};
};

/// What a hedge would take from other requests.
struct hedge_room {
    std::optional<hedge_target> best_target; ///< Nothing when no other target has reported lately.
    bool has_queued_requests = false;        ///< First attempts wait for a permit of the pool.
    double available_capacity = 0;           ///< Further requests that the pool can take.
};

struct hedge_decision {
    hedge_action action = hedge_action::never;
    std::chrono::nanoseconds look_at{}; ///< Since the arrival; only of `look_again`.
    /// Only a report of an idle target is missing: a load probe may allow the hedge.
    bool needs_report = false;
};

struct hedge_policy_limits {
    /// A target is slow when its slowdown exceeds this multiple of the pool's mean.
    double slow_factor = 1.5;
    /// A report that came later after the sending says little about an attempt whose speed is decided by the
    /// state at its start. If any later report counted, hedges limited to 0.04 of the requests would leave a
    /// p99 of 891 ms instead of 301 ms in the load of slow_moments_load.hpp.
    std::chrono::milliseconds max_report_delay{20};
    /// An attempt outlives its peers no earlier than this multiple of the typical service time. A pool whose
    /// service times hardly vary would otherwise hedge attempts that are about to end: with 1.2, these used
    /// up the limit of 0.04 in the load of slow_moments_load.hpp and left a p99 of 434 ms instead of 301 ms.
    double min_delay_ratio = 1.5;
    /// Nor earlier than this. In a pool that responds within 1 ms, hedges after a few ms answer pauses of
    /// threads and use up the limit before an attempt is slow.
    std::chrono::milliseconds min_delay{10};
    /// An attempt is stuck after this multiple of the mean service time: then a hedge is worth sending that
    /// misses the objective but not the deadline.
    double stuck_factor = 3.0;
    /// Requests that the pool must be able to take besides those it has. A pool with less is nearly full,
    /// and the hedge would delay the next requests.
    double min_available_capacity = 3;
    /// An older report does not show that a target is idle. Targets next to other workloads change their
    /// state every 150 ms, so at most one in six of the reports of this age precedes a change.
    std::chrono::milliseconds max_report_age{25};
    /// Time between two looks while nothing but a report can change the decision.
    std::chrono::milliseconds look_interval{10};
    /// Time between two looks while there is a reason but no room; each compares all targets of the pool.
    std::chrono::milliseconds blocked_look_interval{25};
};

/// Answers a load of short slow moments: each target is several times slower for parts of a second, and a
/// request that was sent to it in such a moment stays slow to its end while most of the pool is idle. Under
/// overload, when no target is idle, nothing is hedged. Has no state: times are passed in.
class hedge_policy {
public:
    explicit hedge_policy(hedge_policy_limits limits = {}) : m_limits(limits) {}

    /// Why the request would be hedged now, if there is room for it.
    [[nodiscard]] std::optional<hedge_reason> find_reason(hedged_request const& request,
                                                          hedge_pool_times const& times) const;
    /// `room` is used only when `find_reason` returns a reason; callers need not determine it otherwise.
    [[nodiscard]] hedge_decision decide(hedged_request const& request, hedge_pool_times const& times,
                                        hedge_room const& room) const;
    [[nodiscard]] hedge_policy_limits const& limits() const { return m_limits; }

private:
    [[nodiscard]] bool is_slow(double slowdown, hedge_pool_times const& times) const;
    /// How long after its start an attempt has outlived its peers.
    [[nodiscard]] std::chrono::nanoseconds outlived_after(hedge_pool_times const& times) const;
    [[nodiscard]] bool is_known_idle(std::optional<hedge_target> const& target,
                                     hedge_pool_times const& times) const;

    hedge_policy_limits m_limits;
};

} // namespace pomelospread
