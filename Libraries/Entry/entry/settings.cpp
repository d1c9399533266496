#include "entry/settings.hpp"

#include "base/flag_validator.hpp"
#include "base/flags.hpp"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:8080", "Address for callers, IP-NUMBER:PORT.");
DEFINE_string(peer_listen, "127.0.0.1:8081", "Address for other instances, TCP and UDP.");
DEFINE_string(admin_listen, "127.0.0.1:8082", "Address for operators: /status and /metrics.");
DEFINE_string(zone, "zone-a", "Availability zone of this instance.");
DEFINE_string(platform, "embedded",
              "Address of the platform's services, or 'embedded' for a platform in this process's memory.");
DEFINE_string(routes, "", "With --platform=embedded: file of the initial routes table.");
DEFINE_string(pools, "", "With --platform=embedded: file of the initial pools table.");
DEFINE_int64(threads, 2, "Threads that serve callers, 1 to 64.");
DEFINE_string(log_level, "info", "Lowest level that is logged: debug, info, warning, error.");
DEFINE_string(log_format, "key_value", "Form of log lines: key_value or json.");
DEFINE_int64(max_header_bytes, 16384, "Largest request header, 1024 to 1048576 bytes.");
DEFINE_int64(max_body_bytes, 1048576, "Largest request or response body, 1024 to 67108864 bytes.");
DEFINE_int64(max_connections, 4096, "Callers' connections per thread, 1 to 100000.");
DEFINE_int64(idle_timeout_ms, 60000, "A caller's connection may be idle this long, 100 to 3600000 ms.");
DEFINE_int64(read_timeout_ms, 10000,
             "A request must be received completely within this time, 100 to 600000 ms.");
DEFINE_int64(heartbeat_ms, 250, "Time between heartbeats, 50 to 5000 ms.");
DEFINE_int64(suspect_ms, 1500, "An instance without heartbeats for this long is suspect, 200 to 60000 ms.");
DEFINE_int64(dead_ms, 5000, "An instance without heartbeats for this long is dead, 500 to 600000 ms.");
DEFINE_int64(keep_ms, 10000, "Callers may use an address response for this long, 100 to 600000 ms.");
DEFINE_int64(drain_ms, 12000,
             "A stopping instance still serves for this long after callers stop being directed to it, 0 to "
             "3600000 ms.");
DEFINE_int64(key_epochs, 12, "Idempotency keys are retained for this many epochs of 10 s, 2 to 8640.");
DEFINE_int64(max_keys, 200000, "Idempotency keys retained at once, 100 to 10000000.");
DEFINE_int64(kept_body_bytes, 4096,
             "Responses up to this size are retained for replays, 0 to 1048576 bytes.");
DEFINE_int64(claim_timeout_ms, 250, "A witness must reply to a claim within this time, 1 to 60000 ms.");
DEFINE_int64(platform_timeout_ms, 1000, "The platform must respond within this time, 10 to 60000 ms.");
DEFINE_int64(table_poll_ms, 500, "Time between reads of the tables' version, 50 to 60000 ms.");
DEFINE_int64(list_poll_ms, 2000, "Time between reads of the instance list, 50 to 60000 ms.");
DEFINE_int64(flush_ms, 2000, "Time between writes of account segments, 50 to 600000 ms.");
DEFINE_int64(load_ms, 2, "Shortest time between load updates to other homes, 1 to 1000 ms.");
DEFINE_int64(queue_capacity, 1000, "Requests that may wait for one pool, 0 to 1000000.");
DEFINE_int64(journal_capacity, 200000, "Account records held in memory, 100 to 10000000.");
DEFINE_int64(queue_places, 1, "Requests sent to a target beyond its slots, 0 to 16.");
DEFINE_double(hedge_share, 0.02, "Largest ratio of hedges to idempotent requests, 0 to 1.");
DEFINE_double(retry_share, 0.1, "Largest ratio of retries to first attempts, 0 to 1.");
DEFINE_bool(straggler_avoidance, true, "Prefer targets that have no overdue request.");
DEFINE_bool(peer_counts, true, "Use the in-flight counts of other homes.");

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

class settings_reader : private flag_validator {
public:
    instance_settings read() {
        read_addresses();
        read_limits();
        read_times();
        read_policy();
        check_relations();
        throw_if_invalid();
        return std::move(m_settings);
    }

private:
    void read_addresses() {
        m_settings.caller_address = checked_endpoint("listen", FLAGS_listen);
        m_settings.peer_address = checked_endpoint("peer_listen", FLAGS_peer_listen);
        m_settings.admin_address = checked_endpoint("admin_listen", FLAGS_admin_listen);
        if (FLAGS_platform != "embedded") {
            m_settings.platform_address = checked_endpoint("platform", FLAGS_platform);
        }
        collect_problems([&] { m_settings.min_log_level = parse_log_level(FLAGS_log_level); });
        collect_problems([&] { m_settings.log_output_format = parse_log_format(FLAGS_log_format); });
        m_settings.zone = FLAGS_zone;
        if (m_settings.zone.empty() || m_settings.zone.size() > routing_table_limits::max_name_characters) {
            add_problem(
                {.field = "--zone", .problem = "has a wrong length", .allowed = "1 to 64 characters"});
        }
        m_settings.routes_file = FLAGS_routes;
        m_settings.pools_file = FLAGS_pools;
    }

    void read_limits() {
        constexpr std::int64_t kibibyte = 1024;
        auto& s = m_settings;
        s.worker_threads = checked_count("threads", FLAGS_threads, 1, 64);
        s.http.max_header_bytes =
            checked_count("max_header_bytes", FLAGS_max_header_bytes, kibibyte, kibibyte * kibibyte);
        s.http.max_body_bytes =
            checked_count("max_body_bytes", FLAGS_max_body_bytes, kibibyte, 64 * kibibyte * kibibyte);
        s.http.max_connections = checked_count("max_connections", FLAGS_max_connections, 1, 100000);
        s.claims.retained_epochs =
            static_cast<key_epoch>(checked_integer("key_epochs", FLAGS_key_epochs, 2, 8640));
        s.claims.max_keys = checked_count("max_keys", FLAGS_max_keys, 100, 10000000);
        s.claims.max_retained_body_bytes =
            checked_count("kept_body_bytes", FLAGS_kept_body_bytes, 0, kibibyte * kibibyte);
        s.pool_queue_capacity = checked_count("queue_capacity", FLAGS_queue_capacity, 0, 1000000);
        s.journal_capacity = checked_count("journal_capacity", FLAGS_journal_capacity, 100, 10000000);
    }

    void read_times() {
        auto& s = m_settings;
        s.http.idle_timeout = checked_milliseconds("idle_timeout_ms", FLAGS_idle_timeout_ms, 100, 3600000);
        s.http.read_timeout = checked_milliseconds("read_timeout_ms", FLAGS_read_timeout_ms, 100, 600000);
        s.membership.heartbeat_period = checked_milliseconds("heartbeat_ms", FLAGS_heartbeat_ms, 50, 5000);
        s.membership.suspect_after = checked_milliseconds("suspect_ms", FLAGS_suspect_ms, 200, 60000);
        s.membership.dead_after = checked_milliseconds("dead_ms", FLAGS_dead_ms, 500, 600000);
        s.placement.max_ttl = checked_milliseconds("keep_ms", FLAGS_keep_ms, 100, 600000);
        s.drain_duration = checked_milliseconds("drain_ms", FLAGS_drain_ms, 0, 3600000);
        s.claim_timeout = checked_milliseconds("claim_timeout_ms", FLAGS_claim_timeout_ms, 1, 60000);
        s.platform_timeout =
            checked_milliseconds("platform_timeout_ms", FLAGS_platform_timeout_ms, 10, 60000);
        s.table_poll_interval = checked_milliseconds("table_poll_ms", FLAGS_table_poll_ms, 50, 60000);
        s.instance_list_poll_interval = checked_milliseconds("list_poll_ms", FLAGS_list_poll_ms, 50, 60000);
        s.account_flush_interval = checked_milliseconds("flush_ms", FLAGS_flush_ms, 50, 600000);
        s.load_update_interval = checked_milliseconds("load_ms", FLAGS_load_ms, 1, 1000);
    }

    void read_policy() {
        auto& policy = m_settings.policy;
        policy.max_queued_per_target = checked_integer("queue_places", FLAGS_queue_places, 0, 16);
        policy.hedge_share = checked_number("hedge_share", FLAGS_hedge_share, 0, 1);
        policy.retry_share = checked_number("retry_share", FLAGS_retry_share, 0, 1);
        policy.straggler_avoidance = FLAGS_straggler_avoidance;
        policy.peer_counts = FLAGS_peer_counts;
    }

    void check_relations() {
        if (m_settings.membership.dead_after <= m_settings.membership.suspect_after) {
            add_problem({.field = "--dead_ms",
                         .problem = std::to_string(FLAGS_dead_ms) + " is too small",
                         .allowed = "above --suspect_ms (" + std::to_string(FLAGS_suspect_ms) + ")"});
        }
        bool const has_files = !FLAGS_routes.empty() || !FLAGS_pools.empty();
        if (has_files && FLAGS_platform != "embedded") {
            add_problem({.field = "--routes and --pools",
                         .problem = "are given together with a platform",
                         .allowed = "only with --platform=embedded; else use pomelospreadctl apply"});
        }
    }

    instance_settings m_settings;
};

} // namespace

instance_settings read_settings() {
    return settings_reader().read();
}

std::string settings_help() {
    return describe_flags(settings_flags_source);
}

} // namespace pomelospread
