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

/// Belongs to one thread; calls suspend the calling fiber.
class platform_channel {
public:
    /// `observe_response` is called with each complete response, also with one that refuses the call.
    platform_channel(boost::asio::io_context& io, endpoint address, platform_channel_limits limits,
                     std::function<void(http_response const&)> observe_response = {});

    /// Throws `platform_unavailable` when the call certainly had no effect: no connection, or status 429 or
    /// 503. Throws `platform_outcome_unknown` when no complete response arrived within `timeout`.
    http_response call(boost::beast::http::verb method, std::string const& target, std::string body,
                       std::chrono::milliseconds timeout);
    /// Like `call`, for reads, which can be repeated: every failure is `platform_unavailable`.
    http_response get(std::string const& target, std::chrono::milliseconds timeout);

private:
    endpoint m_address;
    platform_channel_limits m_limits;
    std::function<void(http_response const&)> m_observe_response;
    connection_cache m_connections;
};

} // namespace pomelospread
