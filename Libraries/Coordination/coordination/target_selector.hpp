// Chooses among discovered targets by what is known of each right now: own requests in flight, load reports
// and their age, recent failures.
#pragma once

#include "base/random.hpp"
#include "coordination/target_list_cache.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelospread {

/// What a target says of itself with an answer.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowdown = 1.0; ///< How long work takes now, as a multiple of the usual.
};

struct target_selector_policy {
    /// A report's word on the present speed loses its weight at this rate: neighbours on a shared machine
    /// come and go several times a second.
    std::chrono::milliseconds slowdown_half_life{100};
    /// Counts of other instances' requests age with the length of a request.
    std::chrono::milliseconds inferred_load_half_life{200};
    /// A count that another instance told is believed this long; it tells every change at once.
    std::chrono::milliseconds peer_count_ttl{2000};
    /// Share of the slots that is used, where a target has more than a few: many slow down when nearly full,
    /// so that the last slots cost throughput.
    double usable_slot_share = 0.8;
    std::int64_t full_use_max_slots = 3;
    /// A place at a target that takes this many times as long as the best one is no place: a silent target
    /// would look free for good.
    double max_latency_factor = 2.5;
    /// Failures are forgiven at this rate, so that a target that recovered is tried again.
    std::chrono::milliseconds failure_half_life{3000};
    /// Weight of the newest outcome in a target's failure rate.
    double failure_smoothing_factor = 0.3;
    /// What a failed request costs, as a multiple of the expected time of one.
    double failure_penalty_factor = 8.0;
    /// A cold target takes this many times as long.
    double cold_start_factor = 2.0;
    /// Latency that an answer from another zone may cost more.
    std::chrono::microseconds cross_zone_penalty{5000};
    /// Targets whose expected times differ by less than this share are drawn from at random, so that
    /// instances with the same knowledge do not all choose the same target.
    double tie_tolerance = 0.1;
};

/// The short form of a target's id in messages.
[[nodiscard]] std::uint32_t target_id_hash(std::string_view id) noexcept;

/// How a try at a target ended, as far as the choice learns from it.
enum class attempt_outcome : std::uint8_t {
    answered,  ///< A whole answer below 500.
    failed,    ///< A 5xx answer, a broken exchange or no connection.
    refused,   ///< The target said that it did not run the request.
    timed_out, ///< No answer when the request's time ended.
    cancelled, ///< This side gave up.
};

/// Why a target was chosen, for the log line of the decision.
struct target_choice {
    std::string id;
    endpoint address;
    double expected_ms = 0;        ///< Until the answer, with what failures cost.
    double available_capacity = 0; ///< Requests that it can take now without being nearly full.
    std::int64_t slots = 1;
    double slowdown = 1.0;
    std::int64_t report_age_ms = -1; ///< -1: no report.
    std::uint32_t own_in_flight = 0; ///< Of this instance.
    double other_in_flight = 0;      ///< Estimated requests of other instances.
    double failure_rate = 0;
    std::size_t candidate_count = 0;
};

/// The state of every known target at one instance. Not thread-safe; time and randomness are passed in.
class target_selector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    target_selector(std::string own_zone, target_selector_policy policy);

    /// Puts a list in force. A target that stays keeps its state, one that is not listed is forgotten.
    void set_targets(std::span<listed_target const> targets, time_point now);

    /// The target of the pool with the least expected time, or nothing when no target may be used.
    [[nodiscard]] std::optional<target_choice> choose(std::string_view pool,
                                                      std::span<std::string const> excluded, time_point now,
                                                      random_source& random) const;

    void request_started(std::string const& id);
    /// `latency` is looked at when the request was answered.
    void request_finished(std::string const& id, attempt_outcome outcome, std::chrono::nanoseconds latency,
                          time_point now);
    /// Another instance tells how many requests it has at the target now, and how many failed there.
    void update_peer_load(std::uint64_t peer, std::string const& id, std::uint32_t in_flight,
                          std::uint32_t failures, time_point now);
    /// The target with this hash, or nothing.
    [[nodiscard]] std::string const* find_by_hash(std::uint32_t hash) const;
    [[nodiscard]] std::uint32_t own_in_flight(std::string const& id) const;
    [[nodiscard]] std::string const* pool_of(std::string const& id) const;
    /// A report in an answer to this instance, or told by another instance that received it at `received`.
    void apply_load_report(std::string const& id, load_report const& value, time_point received);
    /// The target is not what the list says, or leaves: it gets nothing new until the list names it anew.
    void disable(std::string const& id);

    /// A status check brought no answer; what the last report said counts as old.
    void record_probe_failure(std::string const& id, time_point now);
    /// The targets of the pool that a check may show to be the best, with a report older than `fresh`.
    [[nodiscard]] std::vector<target_choice>
    probe_candidates(std::string_view pool, std::span<std::string const> excluded, std::size_t count,
                     std::chrono::milliseconds fresh, time_point now, random_source& random) const;

    /// The usual time of a request of the pool at the usual speed; zero while nothing is known.
    [[nodiscard]] std::chrono::nanoseconds typical_service_time(std::string_view pool) const;
    /// Requests that the pool's good targets can take now without being nearly full.
    [[nodiscard]] double available_capacity(std::string_view pool, time_point now) const;
    /// This instance's requests at the pool.
    [[nodiscard]] std::uint32_t own_pool_in_flight(std::string_view pool) const;
    /// The usual time of a request of the pool with its targets' present speed.
    [[nodiscard]] std::chrono::nanoseconds current_service_time(std::string_view pool) const;
    /// Targets of the pool that may be given a request.
    [[nodiscard]] std::size_t usable_target_count(std::string_view pool) const;
    [[nodiscard]] bool is_usable(std::string const& id) const;

private:
    struct peer_in_flight {
        std::uint64_t peer = 0;
        std::uint32_t in_flight = 0;
        time_point received_at;
    };
    struct target_state {
        listed_target listed;
        time_point list_updated_at;
        bool disabled = false;
        std::uint32_t in_flight = 0;
        double inferred_other_in_flight =
            0; ///< Requests at `reported_at` of instances that tell nothing of theirs.
        std::vector<peer_in_flight> peer_counts;
        double slowdown = 1.0;
        std::optional<time_point> reported_at;
        double failure_rate = 0;
        time_point failure_rate_updated_at{};
    };
    /// What a choice compares; a `target_choice` without the copies that its log line needs.
    struct candidate_estimate {
        target_state const* target = nullptr;
        double expected_ms = 0;
        double available_capacity = 0;
        double slowdown = 1.0;
        double other_in_flight = 0;
        double failure_rate = 0;
        std::int64_t report_age_ms = -1;
    };
    struct pool_state {
        std::vector<target_state const*> targets; ///< Of `m_targets`, whose entries stay where they are.
        double typical_service_ms = 0;
        double mean_slowdown = 1.5;
    };

    [[nodiscard]] std::vector<candidate_estimate>
    estimate_candidates(pool_state const& pool, std::span<std::string const> excluded, time_point now) const;
    /// Whether its places count, when the best of the pool takes `least_ms`.
    [[nodiscard]] bool is_eligible(candidate_estimate const& value, double least_ms) const;
    [[nodiscard]] static double least_expected_ms(std::span<candidate_estimate const> choices);
    [[nodiscard]] candidate_estimate estimate_candidate(target_state const& state, pool_state const& pool,
                                                        time_point now) const;
    [[nodiscard]] static target_choice make_choice(candidate_estimate const& value);
    [[nodiscard]] double failure_rate(target_state const& state, time_point now) const;
    [[nodiscard]] double other_in_flight(target_state const& state, time_point now) const;
    [[nodiscard]] double peers_in_flight(target_state const& state, time_point now) const;
    void update_failure_rate(target_state& state, double failure, time_point now) const;

    std::string m_own_zone;
    target_selector_policy m_policy;
    std::map<std::string, target_state, std::less<>> m_targets;
    std::map<std::string, pool_state, std::less<>> m_pools;
    std::unordered_map<std::uint32_t, std::string> m_id_by_hash;
};

} // namespace pomelospread
