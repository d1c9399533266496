// One try of a request at one target, and what may be concluded from how it ended.
#pragma once

#include "base/metrics.hpp"
#include "coordination/target_pool.hpp"
#include "protocol/http_connection.hpp"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace pomelospread {

/// What is known about a try.
enum class attempt_status : std::uint8_t {
    answered,      ///< A whole answer.
    not_started,   ///< Provably not run: no connection, no body sent, or shed before the start.
    indeterminate, ///< It may have run, and no whole answer came.
};

/// Why a try brought no answer.
enum class attempt_failure : std::uint8_t {
    none,
    connect_failed,   ///< The target could not be connected to.
    stale_connection, ///< A connection kept open from before proved dead; a new one may work.
    shed,             ///< The target refused before it started.
    cancelled,        ///< This side gave up before it sent anything.
    invalid_response, ///< The exchange broke, or its answer was not whole or not this request's.
};

struct attempt_result {
    attempt_status status = attempt_status::indeterminate;
    std::optional<http_response> response; ///< Set when `answered`.
    attempt_failure failure = attempt_failure::none;
    std::string detail; ///< For the log line when not answered.
};

/// Limits of exchanges with targets.
struct target_http_limits {
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::chrono::milliseconds connect_timeout{300};
    /// A connection idle for longer is tested before a request that must not run twice is sent on it.
    std::chrono::milliseconds max_unprobed_idle{500};
    std::chrono::milliseconds expect_continue_timeout{200};
};

/// Sends requests to targets from one thread.
class target_http_client {
public:
    target_http_client(boost::asio::io_context& io, std::size_t idle_per_target, target_http_limits limits,
                       metrics& counters);

    /// The connection in use, so that another fiber of this thread can close it to cancel the try.
    struct cancel_handle {
        http_connection* connection = nullptr;
        bool cancelled = false;

        void cancel();
    };

    /// Tries once, never twice: a request that may have started is not sent again. At most `max_idle`
    /// connections to the target are kept open afterwards.
    attempt_result send_once(endpoint const& target, http_request const& request, bool idempotent,
                             steady_time deadline, std::size_t max_idle, cancel_handle& handle);

private:
    /// Whether the answer is this request's, as far as the target tells whose its answers are.
    [[nodiscard]] bool matches_request_id(endpoint const& target, http_request const& request,
                                          http_response const& response);
    attempt_result send_on_connection(http_connection& connection, bool fresh, http_request const& request,
                                      bool idempotent, steady_time deadline);

    target_http_limits m_limits;
    metrics& m_metrics;
    connection_cache m_connections;
    /// Targets that echo the request id; from then on each of their answers must.
    std::set<endpoint> m_request_id_echoing_targets;
};

} // namespace pomelospread
