#include "base/metrics.hpp"

#include "base/log.hpp"

namespace pomelospread {

namespace {

constexpr double lowest_seconds = 10e-6;
constexpr double highest_seconds = 100.0;
constexpr unsigned bucket_count = 70;

constexpr std::array<std::string_view, static_cast<std::size_t>(counter::count)> counter_names{
    "requests",
    "outcome_ran",
    "outcome_not_run",
    "outcome_unknown",
    "address_answers",
    "target_exchanges",
    "retries",
    "hedges",
    "hedge_wins",
    "queue_waits",
    "refused_queue_full",
    "refused_deadline",
    "refused_customer_limit",
    "target_connect_failures",
    "target_exchanges_broken",
    "claims_sent",
    "claims_granted",
    "claims_refused",
    "claims_unanswered",
    "claims_given",
    "keys_fenced",
    "keys_replayed",
    "relays",
    "records_replicated",
    "records_unreplicated",
    "records_refused",
    "segments_stored",
    "segment_failures",
    "segments_recovered",
    "tables_applied",
    "table_reads_failed",
    "heartbeats_sent",
    "heartbeats_received",
    "heartbeat_bytes_sent",
    "heartbeat_bytes_received",
    "datagrams_rejected",
    "pauses_detected",
    "status_checks",
    "heartbeat_bytes_own_zone",
    "heartbeat_bytes_other_zones",
    "announcement_bytes_own_zone",
    "announcement_bytes_other_zones",
    "list_update_bytes_own_zone",
    "list_update_bytes_other_zones",
    "load_update_bytes_own_zone",
    "load_update_bytes_other_zones",
    "snapshot_bytes_own_zone",
    "snapshot_bytes_other_zones",
    "requests_without_route",

    "refused_targets_paused",
    "requests_without_workspace",
    "refused_over_rate",
    "token_bytes_own_zone",
    "token_bytes_other_zones",
    "hedges_over_limit"};

void append_sample(std::string& text, std::string_view name, std::string_view suffix, std::string_view labels,
                   std::string const& value) {
    text += "pomelospread_";
    text += name;
    text += suffix;
    text += labels;
    text += ' ';
    text += value;
    text += '\n';
}

} // namespace

latency_histogram::latency_histogram()
    : m_histogram(boost::histogram::make_histogram_with(
          storage(), axis(bucket_count, lowest_seconds, highest_seconds))) {}

void latency_histogram::observe(std::chrono::nanoseconds latency) {
    m_histogram(std::chrono::duration<double>(latency).count());
    m_sum_nanoseconds.fetch_add(static_cast<std::uint64_t>(latency.count()), std::memory_order_relaxed);
}

void latency_histogram::render(std::string& text, std::string_view name) const {
    text += "# TYPE pomelospread_" + std::string(name) + " histogram\n";
    std::uint64_t total = m_histogram.at(-1);
    for (int i = 0; i < static_cast<int>(bucket_count); ++i) {
        total += m_histogram.at(i);
        auto const upper = std::to_string(m_histogram.axis().bin(i).upper());
        append_sample(text, name, "_bucket", "{le=\"" + upper + "\"}", std::to_string(total));
    }
    total += m_histogram.at(static_cast<int>(bucket_count));
    append_sample(text, name, "_bucket", "{le=\"+Inf\"}", std::to_string(total));
    auto const sum = static_cast<double>(m_sum_nanoseconds.load()) / 1e9;
    append_sample(text, name, "_sum", "", std::to_string(sum));
    append_sample(text, name, "_count", "", std::to_string(total));
}

std::string metrics::render() const {
    std::string text;
    for (std::size_t i = 0; i < counter_names.size(); ++i) {
        text += "# TYPE pomelospread_" + std::string(counter_names[i]) + "_total counter\n";
        append_sample(text, counter_names[i], "_total", "", std::to_string(m_counters[i].load()));
    }
    append_sample(text, "log_lines_dropped", "_total", "", std::to_string(log_writer::dropped_lines()));
    request_latency.render(text, "request_seconds");
    target_latency.render(text, "target_seconds");
    claim_latency.render(text, "claim_seconds");
    return text;
}

std::string_view to_string(counter id) noexcept {
    return counter_names[static_cast<std::size_t>(id)];
}

} // namespace pomelospread
