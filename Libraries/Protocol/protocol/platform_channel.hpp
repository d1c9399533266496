// HTTP calls to a service of the platform. Failures are distinguished by whether the call may have taken
// effect.
#pragma once

#include "coordination/platform.hpp"
#include "protocol/http_connection.hpp"

#include <chrono>
#include <functional>
#include <string>

namespace pomelospread {

struct platform_channel_limits {
    std::chrono::milliseconds connect_timeout;
    std::size_t max_response_bytes;
    std::size_t max_idle_connections;
    std::chrono::milliseconds max_idle_time;
};

/// Ends a call in progress from another fiber of its thread. Serves one call at a time.
class call_cancellation {
public:
    /// Closes the call's connection, so that it throws. Has no effect when no call is in progress.
    void cancel();

private:
    friend class platform_channel;

    http_connection* m_connection = nullptr; ///< Of the exchange in progress.
    bool m_is_cancelled = false;
};

/// Belongs to one thread; calls suspend the calling fiber.
class platform_channel {
public:
    /// `observe_response` is called with each complete response, also with one that refuses the call.
    platform_channel(boost::asio::io_context& io, endpoint address, platform_channel_limits limits,
                     std::function<void(http_response const&)> observe_response = {});

    /// Throws `platform_unavailable` when the call certainly had no effect: no connection, or status 429 or
    /// 503. Throws `platform_outcome_unknown` when no complete response arrived within `timeout`, or before
    /// the call was cancelled.
    http_response call(boost::beast::http::verb method, std::string const& target, std::string body,
                       std::chrono::milliseconds timeout, call_cancellation* cancellation = nullptr);
    /// Like `call`, for reads, which can be repeated: every failure is `platform_unavailable`.
    http_response get(std::string const& target, std::chrono::milliseconds timeout);

private:
    [[nodiscard]] http_response exchange(http_connection& connection, http_request const& request,
                                         steady_time deadline, call_cancellation* cancellation) const;

    endpoint m_address;
    platform_channel_limits m_limits;
    std::function<void(http_response const&)> m_observe_response;
    connection_cache m_connections;
};

} // namespace pomelospread
