#include "protocol/platform_channel.hpp"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace pomelospread {

namespace http = boost::beast::http;

platform_channel::platform_channel(boost::asio::io_context& io, endpoint address,
                                   platform_channel_limits limits,
                                   std::function<void(http_response const&)> observe_response)
    : m_address(std::move(address)), m_limits(limits), m_observe_response(std::move(observe_response)),
      m_connections(io, limits.max_idle_connections, limits.max_idle_time) {}

http_response platform_channel::call(http::verb method, std::string const& target, std::string body,
                                     std::chrono::milliseconds timeout) {
    http_request request(method, target, 11);
    set_header_field(request, "Host", to_string(m_address));
    if (!body.empty()) {
        set_header_field(request, "Content-Type", "application/json");
    }
    request.body() = std::move(body);
    request.prepare_payload();
    auto const now = std::chrono::steady_clock::now();
    auto const deadline = now + timeout;
    try {
        auto connection = m_connections.acquire_idle(m_address);
        if (connection == nullptr) {
            connection = m_connections.open(m_address, std::min(deadline, now + m_limits.connect_timeout));
        }
        auto response = connection->exchange(request, m_limits.max_response_bytes, deadline);
        m_connections.release(m_address, std::move(connection));
        if (m_observe_response) {
            m_observe_response(response);
        }
        if (response.result_int() == 429 || response.result_int() == 503) {
            throw platform_unavailable("the platform refused the call, status " +
                                       std::to_string(response.result_int()));
        }
        return response;
    } catch (connect_failed const& failure) {
        throw platform_unavailable(failure.what());
    } catch (exchange_incomplete const& failure) {
        m_connections.close_idle(m_address);
        throw platform_outcome_unknown(failure.what());
    } catch (deadline_exceeded const& failure) {
        m_connections.close_idle(m_address);
        throw platform_outcome_unknown(std::string("no response of the platform before the time-out: ") +
                                       failure.what());
    }
}

http_response platform_channel::get(std::string const& target, std::chrono::milliseconds timeout) {
    try {
        return call(http::verb::get, target, "", timeout);
    } catch (platform_outcome_unknown const& failure) {
        throw platform_unavailable(failure.what());
    }
}

} // namespace pomelospread
