#include "gateway/target_notices.hpp"

#include "base/log.hpp"

#include <string_view>

namespace pomelospread {

namespace {

void close_unused_connections(forwarding_state& state, target_client& client, std::string const& target) {
    if (!state.selector.is_usable(target)) {
        client.close_idle_connections(target);
    }
}

void record_leaving(forwarding_state& state, target_incarnation const& target, std::string_view source,
                    steady_time now) {
    if (state.selector.record_leaving(target.id, target.started_unix_ms, now)) {
        log_line(log_level::info, "target_leaving")
            .field("target", target.id)
            .field("started_unix_ms", target.started_unix_ms)
            .field("source", source)
            .write();
    }
}

} // namespace

void apply_target_notice(forwarding_state& state, target_client& client, target_incarnation const& target,
                         target_notice const& notice, steady_time now) {
    if (notice.leaving) {
        record_leaving(state, target, "response", now);
        state.pending_load_changes.record_leaving(target.id, target.started_unix_ms);
    }
    if (notice.retry_after && notice.retry_after->count() > 0 &&
        state.selector.record_pause(target.id, target.started_unix_ms, now + *notice.retry_after, now)) {
        log_line(log_level::info, "target_paused")
            .field("target", target.id)
            .field("started_unix_ms", target.started_unix_ms)
            .field("pause_ms",
                   std::chrono::duration_cast<std::chrono::milliseconds>(*notice.retry_after).count())
            .write();
    }
    if (!notice.invalid_retry_after.empty()) {
        log_line(log_level::warning, "retry_after_ignored")
            .field("target", target.id)
            .field("reason", "not a number of seconds: " + notice.invalid_retry_after)
            .write();
    }
    // Also the connection of this exchange, when another response said so meanwhile.
    close_unused_connections(state, client, target.id);
}

void apply_leaving_updates(forwarding_state& state, target_client& client,
                           std::span<leaving_target_update const> updates, steady_time now) {
    for (auto const& each : updates) {
        record_leaving(state, {each.id, each.started_unix_ms}, "peer", now);
        close_unused_connections(state, client, each.id);
    }
}

} // namespace pomelospread
