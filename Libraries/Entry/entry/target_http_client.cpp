#include "entry/target_http_client.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr auto max_idle_time = std::chrono::seconds(30);

bool is_shed(http_response const& response) {
    return response.result_int() == 503 && header_field(response, header::not_started) == "1";
}

} // namespace

target_http_client::target_http_client(boost::asio::io_context& io, std::size_t max_idle_per_target,
                                       target_http_limits limits, metrics& counters)
    : m_limits(limits), m_metrics(counters), m_connections(io, max_idle_per_target, max_idle_time) {}

void target_http_client::cancel_handle::cancel() {
    cancelled = true;
    if (connection != nullptr) {
        connection->close();
    }
}

attempt_result target_http_client::send_once(endpoint const& target, http_request const& request,
                                             bool idempotent, steady_time deadline, std::size_t max_idle,
                                             cancel_handle& handle) {
    m_metrics.add(counter::target_exchanges);
    auto const request_id = header_field(request, header::request_id);
    auto connection = m_connections.acquire_idle(target);
    while (connection != nullptr && connection->refused_ids().contains(request_id)) {
        connection = m_connections.acquire_idle(target);
    }
    bool const is_new_connection = connection == nullptr;
    if (is_new_connection) {
        try {
            auto const connect_deadline =
                std::min(deadline, std::chrono::steady_clock::now() + m_limits.connect_timeout);
            connection = m_connections.open(target, connect_deadline);
        } catch (error const& failure) {
            m_metrics.add(counter::target_connect_failures);
            return {.status = attempt_status::not_started,
                    .response = std::nullopt,
                    .failure = attempt_failure::connect_failed,
                    .detail = failure.what()};
        }
    }
    if (handle.cancelled) {
        m_connections.release(target, std::move(connection), max_idle);
        return {.status = attempt_status::not_started,
                .failure = attempt_failure::cancelled,
                .detail = "cancelled"};
    }
    handle.connection = connection.get();
    auto result = send_on_connection(*connection, is_new_connection, request, idempotent, deadline);
    handle.connection = nullptr;
    if (result.status == attempt_status::response_received &&
        !matches_request_id(target, request, *result.response)) {
        connection->close();
        result = {.status = attempt_status::indeterminate,
                  .failure = attempt_failure::invalid_response,
                  .detail = "the answer is another request's"};
    }
    if (result.status == attempt_status::response_received && is_shed(*result.response)) {
        // A second copy of a refusal without an id could not be told from the refusal of the next request.
        bool const is_named = !header_field(*result.response, header::request_id).empty();
        connection->refused_ids().add(request_id);
        if (!is_named || connection->refused_ids().is_full()) {
            connection->close();
        }
        result = {.status = attempt_status::not_started,
                  .failure = attempt_failure::shed,
                  .detail = "shed by the target"};
    }
    if (result.status == attempt_status::indeterminate && !is_new_connection && idempotent) {
        // An idempotent request may be repeated (RFC 9110 section 9.2.2), so the dispatcher may send it again
        // on a new connection.
        result.failure = attempt_failure::stale_connection;
    }
    if (result.status == attempt_status::indeterminate ||
        result.failure == attempt_failure::stale_connection) {
        m_metrics.add(counter::target_exchanges_broken);
        // The other idle connections may be dead for the same reason. New connections show whether the target
        // is reachable.
        m_connections.close_idle(target);
        return result;
    }
    m_connections.release(target, std::move(connection), max_idle);
    return result;
}

bool target_http_client::matches_request_id(endpoint const& target, http_request const& request,
                                            http_response const& response) {
    auto const echoed_id = header_field(response, header::request_id);
    if (echoed_id.empty()) {
        return !m_request_id_echoing_targets.contains(target);
    }
    m_request_id_echoing_targets.insert(target);
    return echoed_id == header_field(request, header::request_id);
}

attempt_result target_http_client::send_on_connection(http_connection& connection, bool is_new_connection,
                                                      http_request const& request, bool idempotent,
                                                      steady_time deadline) {
    auto const now = std::chrono::steady_clock::now();
    bool const needs_check = !is_new_connection && now - connection.last_used() > m_limits.max_unchecked_idle;
    try {
        if (needs_check && !idempotent) {
            if (request.body().empty()) {
                // A request without a body starts with its header alone, so the connection cannot be checked
                // with `Expect: 100-continue`.
                connection.close();
                return {.status = attempt_status::not_started,
                        .failure = attempt_failure::stale_connection,
                        .detail = "the connection was idle"};
            }
            auto const continue_deadline = std::min(deadline, now + m_limits.expect_continue_timeout);
            return {.status = attempt_status::response_received,
                    .response = connection.exchange_with_expect_continue(request, m_limits.max_body_bytes,
                                                                         continue_deadline, deadline)};
        }
        return {.status = attempt_status::response_received,
                .response = connection.exchange(request, m_limits.max_body_bytes, deadline)};
    } catch (request_not_executed const& failure) {
        return {.status = attempt_status::not_started,
                .failure = attempt_failure::stale_connection,
                .detail = failure.what()};
    } catch (error const& failure) {
        return {.status = attempt_status::indeterminate,
                .failure = attempt_failure::invalid_response,
                .detail = failure.what()};
    }
}

} // namespace pomelospread
