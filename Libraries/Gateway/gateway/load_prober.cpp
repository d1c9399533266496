#include "gateway/load_prober.hpp"

#include "base/log.hpp"
#include "gateway/target_notices.hpp"

#include <algorithm>
#include <memory>

namespace pomelospread {

namespace {

/// A load probe that takes longer does not describe the current load.
constexpr auto probe_timeout = std::chrono::milliseconds(300);
/// A token bucket holds at most the tokens that are added in this time.
constexpr double bucket_seconds = 2.0;
/// Above this number the buckets of targets that were not probed lately are dropped; the bucket of a removed
/// target is otherwise never removed.
constexpr std::size_t max_token_buckets = 4096;

} // namespace

bool load_prober::try_take_token(std::string const& id, steady_time now) {
    if (m_token_buckets.size() > max_token_buckets) {
        // A bucket that has not been used for `bucket_seconds` is as full as a new one.
        std::erase_if(m_token_buckets, [now](auto const& entry) {
            return std::chrono::duration<double>(now - entry.second.refilled_at).count() >= bucket_seconds;
        });
    }
    auto const rate = m_state.probes_per_second(id);
    auto const [found, added] = m_token_buckets.try_emplace(
        id, token_bucket{.tokens = std::min(1.0, rate * bucket_seconds), .refilled_at = now});
    auto& bucket = found->second;
    bucket.tokens =
        std::min(rate * bucket_seconds,
                 bucket.tokens + rate * std::chrono::duration<double>(now - bucket.refilled_at).count());
    bucket.refilled_at = now;
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

bool load_prober::can_probe(std::string const& id) const {
    auto const found = m_token_buckets.find(id);
    if (found == m_token_buckets.end() || m_probes_in_progress.contains(id)) {
        return true;
    }
    auto const& bucket = found->second;
    auto const age = std::chrono::duration<double>(std::chrono::steady_clock::now() - bucket.refilled_at);
    return bucket.tokens + m_state.probes_per_second(id) * age.count() >= 1.0;
}

void load_prober::probe_targets(std::span<probe_target const> targets, std::string const& health_path,
                                steady_time until, target_predicate const& is_enough) {
    auto const now = std::chrono::steady_clock::now();
    std::vector<std::string> awaited_ids;
    for (auto const& target : targets) {
        if (!m_probes_in_progress.contains(target.id)) {
            if (!try_take_token(target.id, now)) {
                continue;
            }
            m_probes_in_progress.insert(target.id);
            m_thread.spawn([this, target, health_path] { run_probe(target, health_path); });
        }
        awaited_ids.push_back(target.id);
    }
    auto const is_in_progress = [this](auto const& id) { return m_probes_in_progress.contains(id); };
    std::unique_lock lock(m_mutex);
    while (std::ranges::any_of(awaited_ids, is_in_progress)) {
        if (is_enough && std::ranges::any_of(awaited_ids, [&](auto const& id) {
                return !is_in_progress(id) && is_enough(id);
            })) {
            return;
        }
        if (m_probe_finished.wait_until(lock, until) == boost::fibers::cv_status::timeout) {
            return;
        }
    }
}

void load_prober::run_probe(probe_target const& target, std::string const& health_path) {
    auto request = std::make_shared<http_request>(boost::beast::http::verb::get, health_path, 11);
    set_header_field(*request, "Host", to_string(target.address));
    set_header_field(*request, m_state.wire_format.expected_target_header, target.id);
    target_client::exchange_handle handle;
    m_state.counters.add(counter::status_checks);
    auto const report = m_target_client.exchange(target.id, target.address, request,
                                                 std::chrono::steady_clock::now() + probe_timeout, handle,
                                                 exchange_kind::load_probe);
    auto const now = std::chrono::steady_clock::now();
    if (report.target_load_report) {
        m_state.selector.apply_load_report(target.id, *report.target_load_report, now);
        m_state.pending_load_changes.record_probe_finished(target.id, *report.target_load_report, now);
    } else {
        m_state.selector.record_probe_failure(target.id, now);
        log_line(log_level::info, "check_failed")
            .field("target", target.id)
            .field("reason", report.failure_reason)
            .write();
    }
    apply_target_notice(m_state, m_target_client, {target.id, target.incarnation}, report.notice, now);
    m_probes_in_progress.erase(target.id);
    m_probe_finished.notify_all();
}

} // namespace pomelospread
