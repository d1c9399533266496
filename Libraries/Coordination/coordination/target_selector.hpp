// Chooses among registered targets by the current state of each: requests in flight, load reports and their
// age, recent failures.
#pragma once

#include "base/random.hpp"
#include "coordination/cold_target_limits.hpp"
#include "coordination/quantile_estimate.hpp"
#include "coordination/slot_claims.hpp"
#include "coordination/target_exclusions.hpp"
#include "coordination/target_list_cache.hpp"
#include "coordination/target_search.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelospread {

/// What a target states about its load in a response.
struct load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double slowdown = 1.0; ///< Current service time as a multiple of the typical one.
    /// How long the target is still cold; nothing when the response does not say.
    std::optional<std::chrono::milliseconds> warm_up_remaining{};
};

struct target_selector_policy {
    /// Half-life of the weight of a reported slowdown. It is short because other workloads on a shared
    /// machine start and stop several times a second.
    std::chrono::milliseconds slowdown_half_life{100};
    /// Half-life of the count of other instances' requests that is inferred from a load report. It
    /// corresponds to the duration of a request, since the counted requests end.
    std::chrono::milliseconds inferred_load_half_life{200};
    /// Lifetime of an in-flight count received from another instance, which sends every change at once.
    std::chrono::milliseconds peer_count_ttl{2000};
    /// For a target with more than `full_use_max_slots` slots, the share of them that is used. Many targets
    /// slow down when nearly full, so that using the last slots costs throughput.
    double usable_slot_share = 0.8;
    std::int64_t full_use_max_slots = 3;
    /// A target whose expected time exceeds the lowest one that its pool has without load by more than this
    /// factor contributes no available capacity; otherwise a target that does not respond would appear to be
    /// free forever, and under overload a slow target would seem as good as a fast one with a queue.
    double max_latency_factor = 2.5;
    /// A target whose failure rate exceeds the lowest one of its pool by more than this contributes none
    /// either. One failure, as each target has some under overload, stays below it.
    double max_failure_rate_excess = 0.4;
    /// Half-life of a target's failure rate, so that a target that recovered is used again.
    std::chrono::milliseconds failure_half_life{3000};
    /// Weight of the newest outcome in a target's failure rate.
    double failure_smoothing_factor = 0.3;
    /// Time that a failed request costs, as a multiple of the pool's typical service time.
    double failure_penalty_factor = 8.0;
    /// A target that is warming up takes this many times as long.
    double cold_start_factor = 2.0;
    /// Added to the expected time of a target in another zone, for the latency between zones.
    std::chrono::microseconds cross_zone_penalty{5000};
    /// The choice is random among the targets whose expected time exceeds the lowest one by at most this
    /// share, so that instances with the same data do not all choose the same target.
    double tie_tolerance = 0.1;
    slot_claim_policy slot_claims;
    cold_target_policy cold_targets;
    target_search_policy search;
};

/// The hash that stands for a target's id in messages between instances.
[[nodiscard]] std::uint32_t target_id_hash(std::string_view id) noexcept;

/// How an attempt ended, as far as the choice of later targets depends on it; derived from
/// `exchange_outcome`, the time and the status.
enum class attempt_outcome : std::uint8_t {
    succeeded, ///< A complete response with a status below 500.
    failed,    ///< A 5xx response, a broken exchange, no connection, or another target has the address (421).
    refused,   ///< The target stated that it did not run the request.
    timed_out, ///< No response until the deadline.
    cancelled, ///< This instance abandoned the attempt.
};

/// How an attempt at a target ended.
struct finished_attempt {
    std::string const& target;
    std::int64_t incarnation = 0; ///< Of the target when it was chosen.
    attempt_outcome outcome = attempt_outcome::succeeded;
    std::chrono::nanoseconds latency{}; ///< Used only when the outcome is `succeeded`.
    /// What the choice knew of the target from a fresh report; without one, the pool's mean is assumed.
    std::optional<double> slowdown;
};

/// Why a target was chosen, for the log line of the decision.
struct target_choice {
    std::string id;
    std::int64_t incarnation = 0; ///< `listed_target::started_unix_ms`.
    endpoint address;
    double expected_ms = 0;        ///< Time to the response, including the penalty for failures.
    double available_capacity = 0; ///< Further requests that the target can take without being nearly full.
    std::int64_t slots = 1;
    double slowdown = 1.0;
    std::int64_t report_age_ms = -1; ///< -1 when the target has sent no load report.
    std::uint32_t own_in_flight = 0; ///< Requests of this instance.
    double other_in_flight = 0;      ///< Requests of other instances, estimated.
    double failure_rate = 0;
    std::size_t candidate_count = 0;
    /// The target has available capacity and is not much slower than the fastest one of its pool, or it has
    /// so few slots that a short wait there is as good as a free slot elsewhere.
    bool is_preferred = false;
};

/// What a target reported last.
struct reported_slowdown {
    double slowdown = 1.0;
    std::chrono::steady_clock::time_point reported_at;
};

/// One instance's state of every listed target. Not thread-safe; time and randomness are passed in.
class target_selector {
public:
    using time_point = std::chrono::steady_clock::time_point;

    target_selector(std::string own_zone, target_selector_policy policy);

    /// Applies a target list. A target of which the same incarnation is listed keeps its state; the state of
    /// every other target is dropped, except what `record_leaving` and `record_pause` recorded.
    void set_targets(std::span<listed_target const> targets, time_point now);

    /// Sets the order in which this instance and the other homes of a pool use a target's last free slot.
    /// Called again when targets or homes changed; before the first call, this instance comes first.
    void set_slot_claims(std::string_view pool, endpoint const& self, std::set<endpoint> const& homes);

    /// Whether the homes are known among which cold targets' rates and load probes are divided. Until then,
    /// this instance has no share of them.
    void set_knows_homes(bool knows_homes) noexcept { m_knows_homes = knows_homes; }
    /// Sets how many requests per second a cold target of the pool tolerates, 0 for any number, and how long
    /// a target is cold that became so without a report.
    void set_warm_up(std::string_view pool, double requests_per_second, std::chrono::milliseconds time);
    /// No request or load probe is sent to the targets of these zones. When the evacuation of a zone ends,
    /// its targets may have become cold and count as such for their pool's warm-up time.
    void set_evacuated_zones(std::set<std::string, std::less<>> zones, time_point now);

    /// Sets in which zones the pool's homes are.
    void set_home_zones(std::string_view pool, std::map<std::string, std::size_t, std::less<>> homes_by_zone);
    /// This instance's share of the load probes of a target; `max_homes` is the largest number of homes that
    /// the callers of one host have.
    [[nodiscard]] double probe_share(std::string const& id, std::size_t max_homes) const;

    /// Chooses the target of the pool with the least expected time, at random among near ties. Returns
    /// nothing when no target may be used.
    [[nodiscard]] std::optional<target_choice> choose(std::string_view pool,
                                                      std::span<std::string const> excluded, time_point now,
                                                      random_source& random) const;

    void attempt_started(std::string const& id, time_point now);
    /// Ignored when the target has been replaced by another incarnation meanwhile.
    void attempt_finished(finished_attempt const& result, time_point now);
    /// The slowdown of `finished_attempt` for a request that is sent after this choice.
    [[nodiscard]] std::optional<double> known_slowdown(target_choice const& choice) const;
    /// Applies another instance's number of requests in flight at the target and its number of new failures.
    void update_peer_load(std::uint64_t peer, std::string const& id, std::uint32_t in_flight,
                          std::uint32_t failures, time_point now);
    /// The id of the target with this hash, or nullptr.
    [[nodiscard]] std::string const* find_by_hash(std::uint32_t hash) const;
    [[nodiscard]] std::uint32_t own_in_flight(std::string const& id) const;
    [[nodiscard]] std::string const* pool_of(std::string const& id) const;
    /// The zone of a listed target; empty for another one.
    [[nodiscard]] std::string_view zone_of(std::string const& id) const;
    /// Applies a load report that this instance or another one received at `received`. A report that is older
    /// than the last one applied is ignored.
    void apply_load_report(std::string const& id, load_report const& value, time_point received);
    /// Another target has the listed address: the target gets no new request while it stays listed there. A
    /// listing at another address, or a later one, may be right, so it is not remembered longer.
    void disable(std::string const& id);
    /// The incarnation said that it leaves: it gets no new request, whatever later lists say. Returns false
    /// when that was known.
    bool record_leaving(std::string const& id, std::int64_t incarnation, time_point now);
    /// The incarnation wants no request and no load probe before `until`; the latest such time counts.
    /// Returns false when `until` is not later than the known one.
    bool record_pause(std::string const& id, std::int64_t incarnation, time_point until, time_point now);
    /// When the first of the pool's targets may receive a request again, if all usable ones are paused now.
    [[nodiscard]] std::optional<time_point> paused_until(std::string_view pool, time_point now) const;

    /// A load probe returned no load report: counts as a failure of the target.
    void record_probe_failure(std::string const& id, time_point now);
    /// The rank of this instance in the order of `set_slot_claims`; 0 for a target that is not listed.
    [[nodiscard]] std::uint32_t claim_rank(std::string const& id) const;
    /// The up to `count` targets of the pool to probe: those with the least expected time among the targets
    /// that `choose` prefers, without targets whose report is younger than `fresh`. Empty when the best
    /// target has such a report and is not slow, since probes then cannot improve the choice.
    [[nodiscard]] std::vector<target_choice>
    probe_candidates(std::string_view pool, std::span<std::string const> excluded, std::size_t count,
                     std::chrono::milliseconds fresh, time_point now, random_source& random) const;

    /// Whether targets are searched for (`next_search_round`) instead of probed once (`probe_candidates`):
    /// the pool's targets have few slots, and the own zone has enough of them.
    [[nodiscard]] bool uses_search(std::string_view pool) const;
    [[nodiscard]] target_search begin_search(std::string_view pool, time_point now) const;
    using target_predicate = std::function<bool(std::string const& id)>;
    /// The targets to probe in the next round of the search, among those for which `can_probe` returns true;
    /// empty when it is over.
    [[nodiscard]] std::vector<target_choice> next_search_round(target_search& search, std::string_view pool,
                                                               std::span<std::string const> excluded,
                                                               target_predicate const& can_probe,
                                                               time_point now, random_source& random) const;

    /// Whether a fresh report shows that the target is idle and undisturbed, so that the search can end.
    [[nodiscard]] bool is_known_good(target_search const& search, std::string const& id,
                                     time_point now) const;
    /// The usable target with the least expected time among those that reported within `max_age`.
    [[nodiscard]] std::optional<target_choice> best_reported_target(std::string_view pool,
                                                                    std::span<std::string const> excluded,
                                                                    std::chrono::milliseconds max_age,
                                                                    time_point now) const;
    /// Nothing while the target has sent no load report.
    [[nodiscard]] std::optional<reported_slowdown> last_report(std::string const& id) const;
    /// Mean of the slowdowns that the pool's targets report.
    [[nodiscard]] double mean_slowdown(std::string_view pool) const;
    /// The 95th percentile of the pool's response times, counted from the sending of each attempt; zero until
    /// a request was measured.
    [[nodiscard]] std::chrono::nanoseconds high_response_time(std::string_view pool) const;

    /// Typical service time of the pool without slowdown; zero until a request was measured.
    [[nodiscard]] std::chrono::nanoseconds typical_service_time(std::string_view pool) const;
    /// Further requests that the pool's eligible targets can take now without being nearly full.
    [[nodiscard]] double available_capacity(std::string_view pool, time_point now) const;
    /// This instance's requests in flight at the pool's targets.
    [[nodiscard]] std::uint32_t own_pool_in_flight(std::string_view pool) const;
    /// Mean time of the pool's requests until the response, with the slowdowns that they met; zero until a
    /// request was measured.
    [[nodiscard]] std::chrono::nanoseconds current_service_time(std::string_view pool) const;
    /// Number of targets of the pool, without those in `excluded`, that may receive a request now.
    [[nodiscard]] std::size_t
    usable_target_count(std::string_view pool, std::span<std::string const> excluded, time_point now) const;
    /// Whether the target may receive requests, now or after a pause.
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
        bool is_evacuated = false;
        time_point cold_until{}; ///< Beyond what the list states.
        cold_target_budget cold_budget;
        // As in `m_exclusions`, without a look-up for each choice.
        bool announced_leaving = false;
        time_point paused_until{};
        std::uint32_t in_flight = 0;
        /// Requests in the report of `reported_at` that neither this instance nor the counts of other
        /// instances account for.
        double inferred_other_in_flight = 0;
        std::vector<peer_in_flight> peer_counts;
        double slowdown = 1.0;
        std::optional<time_point> reported_at;
        double failure_rate = 0;
        time_point failure_rate_updated_at{};
        std::uint32_t slot_claim_rank = 0;
        time_point load_changed_at{}; ///< When this instance last sent or heard of a change of the load.
    };
    /// The values by which targets are compared; unlike `target_choice` it copies no strings.
    struct candidate_estimate {
        target_state const* target = nullptr;
        double expected_ms = 0;
        double service_ms = 0;  ///< Expected time without the penalty for failures.
        double unloaded_ms = 0; ///< What `service_ms` would be without any request in flight.
        double available_capacity = 0;
        double slowdown = 1.0;
        double other_in_flight = 0;
        double failure_rate = 0;
        std::int64_t report_age_ms = -1;
    };
    struct pool_state {
        std::vector<target_state const*> targets; ///< Entries of `m_targets`, whose addresses are stable.
        double typical_service_ms = 0;            ///< Without slowdown.
        double mean_service_ms = 0;               ///< As measured.
        double mean_slowdown = 1.5;
        double good_share = 0.5; ///< Of the load reports, those of idle and undisturbed targets.
        quantile_estimate high_response_time{0.95};
        double warm_up_requests_per_second = 0; ///< 0: unlimited.
        std::chrono::milliseconds warm_up_time{0};
        std::size_t home_count = 1;
        bool uses_search = false;
        std::map<std::string, std::size_t, std::less<>> homes_by_zone;
    };

    [[nodiscard]] static bool is_usable(target_state const& state);
    [[nodiscard]] bool is_usable_at(target_state const& state, pool_state const& pool, time_point now) const;
    [[nodiscard]] static bool is_cold(target_state const& state, time_point now);
    [[nodiscard]] std::vector<candidate_estimate>
    estimate_candidates(pool_state const& pool, std::span<std::string const> excluded, time_point now) const;
    /// The best values of a pool, with which its targets are compared.
    struct pool_bests {
        double expected_ms = 0;
        double unloaded_ms = 0;
        double failure_rate = 0;
    };
    /// At most `full_use_max_slots`. All slots of such a target are used, also by several homes at once: a
    /// slot left free is a large part of its capacity, and a request that waits there waits for few others.
    [[nodiscard]] bool has_few_slots(target_state const& state) const;
    /// Whether the target contributes to the pool's available capacity: it can take a further request and is
    /// neither much slower nor fails much more often than the best of its pool. Targets with few slots are
    /// compared with the least expected time, queues included.
    [[nodiscard]] bool is_eligible(candidate_estimate const& value, pool_bests const& bests) const;
    [[nodiscard]] static pool_bests find_bests(std::span<candidate_estimate const> estimates);
    /// Removes the estimates of targets that are not chosen while others are preferred; `estimates` is not
    /// empty, before and after.
    void keep_preferred(std::vector<candidate_estimate>& estimates, pool_bests const& bests) const;
    [[nodiscard]] static double least_expected_ms(std::span<candidate_estimate const> estimates);
    [[nodiscard]] candidate_estimate estimate_candidate(target_state const& state, pool_state const& pool,
                                                        time_point now) const;
    [[nodiscard]] search_candidate make_search_candidate(std::size_t index, candidate_estimate const& value,
                                                         pool_state const& pool) const;
    [[nodiscard]] static target_choice make_choice(candidate_estimate const& value);
    /// 1 while a home that comes first may be about to use a slot of the target, else 0.
    [[nodiscard]] double claimed_by_others(target_state const& state, time_point now) const;
    [[nodiscard]] double failure_rate(target_state const& state, time_point now) const;
    [[nodiscard]] double other_in_flight(target_state const& state, time_point now) const;
    [[nodiscard]] double peers_in_flight(target_state const& state, time_point now) const;
    void update_failure_rate(target_state& state, double failure, time_point now) const;

    std::string m_own_zone;
    target_selector_policy m_policy;
    std::map<std::string, target_state, std::less<>> m_targets;
    target_exclusions m_exclusions;
    bool m_knows_homes = true;
    std::map<std::string, pool_state, std::less<>> m_pools;
    std::unordered_map<std::uint32_t, std::string> m_id_by_hash;
    std::set<std::string, std::less<>> m_evacuated_zones;
};

} // namespace pomelospread
