// Chooses the target of each request from one instance's state of a pool.
//
// The request path takes no lock and allocates nothing: a request acquires one of a target's permits by a
// compare-and-swap. Time and random numbers are passed in, so the same code runs in the instance and in
// virtual time in the benches.
#pragma once

#include "base/random.hpp"
#include "coordination/quantile_estimate.hpp"
#include "coordination/ratio_budget.hpp"
#include "state/routing_tables.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospread {

/// Each switch can turn one part of the policy off, so that the effect of that part can be measured.
struct target_pool_policy {
    bool straggler_avoidance = true; ///< Prefer targets without overdue requests.
    bool peer_counts = true;         ///< Use the in-flight counts that other home instances send.
    bool prefer_own_subset = true;   ///< Break ties in favour of this instance's share of the targets.
    bool outlier_ejection = true;    ///< Eject targets that fail, never more than half of the pool.
    bool slow_start = true;          ///< Raise the permit limit of a new or returning target gradually.
    bool zone_preference = true;     ///< Break remaining ties in favour of this instance's zone.
    double overdue_factor = 3.0;     ///< A request is overdue after this multiple of the median latency.
    /// Share of the other home instances' in-flight counts that reduces the permits this instance may use of
    /// a target. The comparison of targets uses the full counts.
    double peer_capacity_weight = 0.5;
    std::int64_t max_queued_per_target = 1; ///< Permits per target beyond its slots.
    double hedge_quantile = 0.95;
    double hedge_share = 0.02;
    double retry_share = 0.1;
    nanoseconds ejection_duration{std::chrono::seconds(2)};
    nanoseconds slow_start_duration{std::chrono::seconds(5)};
    std::uint32_t ejection_failure_threshold = 3;
};

/// How an attempt ended, as far as the statistics of `target_pool` depend on it. The forwarding instances use
/// `attempt_outcome` of target_selector.hpp instead.
enum class exchange_result : std::uint8_t {
    succeeded, ///< A complete response with any status below 500.
    failed,    ///< A 5xx response or a broken exchange.
    refused,   ///< The target refused, or the connection was dead: does not change the target's state.
    cancelled, ///< This instance abandoned the attempt, for example the slower one of a hedged request.
};

/// Why a target was chosen, for the log line.
enum class choice_reason : std::uint8_t { least_in_flight, random_tie };

[[nodiscard]] std::string_view to_string(choice_reason reason) noexcept;

/// The right to send one request to one target. It must be returned with `target_pool::release`.
struct target_permit {
    std::uint32_t target = 0;
    std::uint32_t permit_index = 0;
    nanoseconds started_at{};
    choice_reason reason = choice_reason::least_in_flight;
};

/// One instance's state of one pool. `try_acquire` and `release` are thread-safe and lock-free.
class target_pool {
public:
    static constexpr std::size_t max_permits_per_target = 64;

    /// This instance's rank among the home instances of the pool, and their number.
    struct home_rank {
        std::uint32_t rank = 0;
        std::uint32_t home_count = 1;
    };

    /// `previous` is the object of this pool for the previous tables, or nullptr. A target that remains keeps
    /// its state and its requests in flight, but a stop that it announced (`set_leaving_until`) is no longer
    /// recorded. A target that is added to an existing pool gets a slow start.
    target_pool(pool_row const& row, std::string_view own_zone, target_pool_policy policy, nanoseconds now,
                target_pool const* previous = nullptr);

    /// Acquires a permit of the best target; nothing when no eligible target has a free permit. Ejected
    /// targets are eligible when no other one has a free permit, leaving ones never. `excluded` is skipped,
    /// for retries and hedges.
    [[nodiscard]] std::optional<target_permit>
    try_acquire(nanoseconds now, random_source& random, std::optional<std::uint32_t> excluded = std::nullopt);
    /// Returns the permit and updates the target's and the pool's statistics by the result.
    void release(target_permit const& permit, nanoseconds now, exchange_result result) noexcept;

    /// Sets how many requests the other home instances have in flight at a target.
    void set_peer_in_flight(std::uint32_t target, std::uint32_t in_flight) noexcept;
    void set_home_rank(home_rank rank) noexcept;
    /// The target announced its stop; it gets no new request until `until`, even when all others are full. A
    /// change of the pool's row in the tables ends this earlier.
    void set_leaving_until(std::uint32_t target, nanoseconds until) noexcept;
    /// How much longer a target that announced its stop gets no new request; zero for any other target, also
    /// for one that is marked as leaving in the table.
    [[nodiscard]] nanoseconds announced_leaving_remaining(std::uint32_t target,
                                                          nanoseconds now) const noexcept;

    /// Time after which an idempotent request is hedged; zero until a latency was measured.
    [[nodiscard]] nanoseconds hedge_delay() const noexcept;
    [[nodiscard]] ratio_budget& hedge_budget() noexcept { return m_shared_state->hedge_budget; }
    [[nodiscard]] ratio_budget& retry_budget() noexcept { return m_shared_state->retry_budget; }

    [[nodiscard]] std::size_t size() const noexcept { return m_targets.size(); }
    [[nodiscard]] std::uint32_t in_flight(std::uint32_t target) const noexcept;
    [[nodiscard]] pool_row const& row() const noexcept { return m_row; }

private:
    static constexpr std::int64_t free_permit = 0;
    static constexpr std::int64_t leaving_by_table = INT64_MAX;
    static constexpr double budget_burst = 10.0;

    struct alignas(64) target_state {
        std::atomic<std::uint32_t> own_in_flight{0};
        std::atomic<std::uint32_t> peer_in_flight{0};
        std::atomic<std::uint32_t> consecutive_failures{0};
        std::atomic<std::int64_t> leaving_until{0};
        std::atomic<std::int64_t> ejected_until{0};
        std::atomic<std::int64_t> slow_start_since_ns{0};
        /// When each permit was acquired; `free_permit` while it is free.
        std::array<std::atomic<std::int64_t>, max_permits_per_target> permit_started_at{};
    };
    struct shared_pool_state {
        explicit shared_pool_state(target_pool_policy const& policy)
            : hedge_latency(policy.hedge_quantile), hedge_budget(policy.hedge_share, budget_burst),
              retry_budget(policy.retry_share, budget_burst) {}
        quantile_estimate median_latency{0.5};
        quantile_estimate hedge_latency;
        ratio_budget hedge_budget;
        ratio_budget retry_budget;
    };

    struct candidate {
        std::uint32_t target = 0;
        std::uint32_t score = 0;
        choice_reason reason = choice_reason::least_in_flight;
    };

    [[nodiscard]] std::optional<candidate> best_candidate(nanoseconds now, random_source& random,
                                                          std::optional<std::uint32_t> excluded,
                                                          bool ignore_ejection) const;
    [[nodiscard]] std::uint32_t score(std::uint32_t index, nanoseconds now, std::uint32_t load) const;
    [[nodiscard]] std::uint32_t permit_limit(target_state const& target, nanoseconds now) const noexcept;
    [[nodiscard]] std::uint32_t overdue_count(target_state const& target, nanoseconds now) const noexcept;
    [[nodiscard]] std::optional<std::uint32_t> acquire_permit(target_state& target, nanoseconds now) noexcept;
    void record_failure(target_state& target, nanoseconds now) noexcept;
    [[nodiscard]] bool can_eject(nanoseconds now) const noexcept;
    void inherit_state(target_pool const& previous);

    pool_row m_row;
    target_pool_policy m_policy;
    std::uint32_t m_permits_per_target;
    std::vector<std::shared_ptr<target_state>> m_targets;
    std::vector<std::uint8_t> m_is_in_own_zone;
    std::atomic<std::uint64_t> m_home_rank{1};
    std::shared_ptr<shared_pool_state> m_shared_state;
};

} // namespace pomelospread
