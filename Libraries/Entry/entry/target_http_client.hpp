// Sends one attempt of a request to one target and classifies how it ended.
#pragma once

#include "base/metrics.hpp"
#include "coordination/target_pool.hpp"
#include "protocol/http_connection.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelospread {

/// Whether an attempt may have run at the target, which decides what the caller may receive;
/// `attempt_failure` states the cause, and `exchange_result` of target_pool.hpp rates the attempt for the
/// choice of targets.
enum class attempt_status : std::uint8_t {
    response_received, ///< A complete response arrived.
    not_started,       ///< Certainly not run: no connection, nothing sent that starts it, or refused.
    indeterminate,     ///< It may have run, and no complete response arrived.
};

/// Why an attempt brought no response.
enum class attempt_failure : std::uint8_t {
    none,
    connect_failed,   ///< The connection to the target could not be established.
    stale_connection, ///< A reused connection failed or was idle for too long; a new one may work.
    shed,             ///< The target refused the request before starting it.
    cancelled,        ///< Cancelled by this instance before anything was sent.
    invalid_response, ///< The exchange failed, or the response was incomplete or that of another request.
};

struct attempt_result {
    attempt_status status = attempt_status::indeterminate;
    std::optional<http_response> response; ///< Set when `response_received`.
    attempt_failure failure = attempt_failure::none;
    std::string detail; ///< Description for the log line when not `response_received`.
};

/// Limits of exchanges with targets.
struct target_http_limits {
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::chrono::milliseconds connect_timeout{300};
    /// A connection idle for longer is checked with `Expect: 100-continue` when it is to carry a request that
    /// must not run twice.
    std::chrono::milliseconds max_unchecked_idle{500};
    std::chrono::milliseconds expect_continue_timeout{200};
};

/// Sends requests to targets from one thread.
class target_http_client {
public:
    target_http_client(boost::asio::io_context& io, std::size_t max_idle_per_target,
                       target_http_limits limits, metrics& counters);

    /// The connection in use; another fiber of this thread can close it to cancel the attempt.
    struct cancel_handle {
        http_connection* connection = nullptr;
        bool cancelled = false;

        void cancel();
    };

    /// Makes exactly one attempt; retries are left to `pool_dispatcher`. At most `max_idle` idle
    /// connections to the target are kept open afterwards.
    attempt_result send_once(endpoint const& target, http_request const& request, bool idempotent,
                             steady_time deadline, std::size_t max_idle, cancel_handle& handle);

private:
    /// Whether the response echoes the id of this request. A target that has never echoed an id need not do
    /// so.
    [[nodiscard]] bool matches_request_id(endpoint const& target, http_request const& request,
                                          http_response const& response);
    attempt_result send_on_connection(http_connection& connection, bool is_new_connection,
                                      http_request const& request, bool idempotent, steady_time deadline);

    target_http_limits m_limits;
    metrics& m_metrics;
    connection_cache m_connections;
    /// Targets that have echoed the request id; from then on each of their responses must.
    std::set<endpoint> m_request_id_echoing_targets;
};

} // namespace pomelospread
