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

void call_cancellation::cancel() {
    m_is_cancelled = true;
    if (m_connection != nullptr) {
        m_connection->close();
    }
}

http_response platform_channel::exchange(http_connection& connection, http_request const& request,
                                         steady_time deadline, call_cancellation* cancellation) const {
    if (cancellation == nullptr) {
        return connection.exchange(request, m_limits.max_response_bytes, deadline);
    }
    if (cancellation->m_is_cancelled) {
        throw connect_failed("the call was cancelled before the request was sent");
    }
    cancellation->m_connection = &connection;
    try {
        auto response = connection.exchange(request, m_limits.max_response_bytes, deadline);
        cancellation->m_connection = nullptr;
        return response;
    } catch (...) {
        cancellation->m_connection = nullptr;
        throw;
    }
}

http_response platform_channel::call(http::verb method, std::string const& target, std::string body,
                                     std::chrono::milliseconds timeout, call_cancellation* cancellation) {
    if (cancellation != nullptr) {
        cancellation->m_is_cancelled = false;
    }
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
        auto response = exchange(*connection, request, deadline, cancellation);
        if (m_observe_response) {
            m_observe_response(response);
        }
        // Responses bear no id, so a second copy of a refusal would be taken for the next call's; its
        // connection is not used again.
        if (response.result_int() == 429 || response.result_int() == 503) {
            throw platform_unavailable("the platform refused the call, status " +
                                       std::to_string(response.result_int()));
        }
        m_connections.release(m_address, std::move(connection));
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
