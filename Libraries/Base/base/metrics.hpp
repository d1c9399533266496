// Counters and latency histograms of one process, rendered in the Prometheus text format.
#pragma once

#include <boost/histogram/accumulators/thread_safe.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace pomelospread {

/// The counters of a process. docs/OPERATIONS.md describes each.
enum class counter : std::uint8_t {
    requests,
    outcome_ran,
    outcome_not_run,
    outcome_unknown,
    address_answers,
    target_exchanges,
    retries,
    hedges,
    hedge_wins,
    queue_waits,
    refused_queue_full,
    refused_deadline,
    refused_customer_limit,
    target_connect_failures,
    target_exchanges_broken,
    claims_sent,
    claims_granted,
    claims_refused,
    claims_unanswered,
    claims_given,
    keys_fenced,
    keys_replayed,
    relays,
    records_replicated,
    records_unreplicated,
    records_refused,
    segments_stored,
    segment_failures,
    segments_recovered,
    tables_applied,
    table_reads_failed,
    heartbeats_sent,
    heartbeats_received,
    heartbeat_bytes_sent,
    heartbeat_bytes_received,
    datagrams_rejected,
    pauses_detected,
    status_checks,
    heartbeat_bytes_own_zone,
    heartbeat_bytes_other_zones,
    announcement_bytes_own_zone,
    announcement_bytes_other_zones,
    list_update_bytes_own_zone,
    list_update_bytes_other_zones,
    load_update_bytes_own_zone,
    load_update_bytes_other_zones,
    snapshot_bytes_own_zone,
    snapshot_bytes_other_zones,
    requests_without_route,
    refused_targets_paused,
    requests_without_workspace,
    refused_over_rate,
    token_bytes_own_zone,
    token_bytes_other_zones,
    hedges_over_limit,
    count,
};

/// A histogram of latencies with logarithmic buckets from 10 microseconds to 100 seconds. Thread-safe and
/// lock-free.
class latency_histogram {
public:
    latency_histogram();
    void observe(std::chrono::nanoseconds latency);
    /// Appends the buckets, the sum and the count to `text`, as metrics whose names begin with `name`.
    void render(std::string& text, std::string_view name) const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using cell = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using storage = boost::histogram::dense_storage<cell>;

    boost::histogram::histogram<std::tuple<axis>, storage> m_histogram;
    std::atomic<std::uint64_t> m_sum_nanoseconds{0};
};

/// All metrics of a process. Thread-safe and lock-free.
class metrics {
public:
    void add(counter id, std::uint64_t amount = 1) noexcept {
        m_counters[static_cast<std::size_t>(id)].fetch_add(amount, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value(counter id) const noexcept {
        return m_counters[static_cast<std::size_t>(id)].load(std::memory_order_relaxed);
    }

    latency_histogram request_latency; ///< From the complete request until the response is ready.
    latency_histogram target_latency;  ///< Of the exchanges with targets.
    latency_histogram claim_latency;   ///< From sending a claim to its reply or the time limit.

    [[nodiscard]] std::string render() const;

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> m_counters{};
};

[[nodiscard]] std::string_view to_string(counter id) noexcept;

} // namespace pomelospread
