#include "entry/target_http_client.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr auto max_idle_time = std::chrono::seconds(30);

bool is_shed(http_response const& response) {
    return response.result_int() == 503 && header_field(response, header::not_started) == "1";
}

} // namespace

target_http_client::target_http_client(boost::asio::io_context& io, std::size_t idle_per_target,
                                       target_http_limits limits, metrics& counters)
    : m_limits(limits), m_metrics(counters), m_connections(io, idle_per_target, max_idle_time) {}

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
    auto connection = m_connections.acquire_idle(target);
    bool const fresh = connection == nullptr;
    if (fresh) {
        try {
            auto const connect_by =
                std::min(deadline, std::chrono::steady_clock::now() + m_limits.connect_timeout);
            connection = m_connections.open(target, connect_by);
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
    auto outcome = send_on_connection(*connection, fresh, request, idempotent, deadline);
    handle.connection = nullptr;
    if (outcome.status == attempt_status::answered &&
        !matches_request_id(target, request, *outcome.response)) {
        connection->close();
        outcome = {.status = attempt_status::indeterminate,
                   .failure = attempt_failure::invalid_response,
                   .detail = "the answer is another request's"};
    }
    if (outcome.status == attempt_status::answered && is_shed(*outcome.response)) {
        outcome = {.status = attempt_status::not_started,
                   .failure = attempt_failure::shed,
                   .detail = "shed by the target"};
    }
    if (outcome.status == attempt_status::indeterminate && !fresh && idempotent) {
        // RFC 9110 section 9.2.2: an idempotent request may be sent again on a new connection.
        outcome.failure = attempt_failure::stale_connection;
    }
    if (outcome.status == attempt_status::indeterminate ||
        outcome.failure == attempt_failure::stale_connection) {
        m_metrics.add(counter::target_exchanges_broken);
        // Other idle connections may have lost the same path; new ones tell whether the target lives.
        m_connections.close_idle(target);
        return outcome;
    }
    m_connections.release(target, std::move(connection), max_idle);
    return outcome;
}

bool target_http_client::matches_request_id(endpoint const& target, http_request const& request,
                                            http_response const& response) {
    auto const told = header_field(response, header::request_id);
    if (told.empty()) {
        return !m_request_id_echoing_targets.contains(target);
    }
    m_request_id_echoing_targets.insert(target);
    return told == header_field(request, header::request_id);
}

attempt_result target_http_client::send_on_connection(http_connection& connection, bool fresh,
                                                      http_request const& request, bool idempotent,
                                                      steady_time deadline) {
    auto const now = std::chrono::steady_clock::now();
    bool const untested = !fresh && now - connection.last_used() > m_limits.max_unprobed_idle;
    try {
        if (untested && !idempotent) {
            if (request.body().empty()) {
                // Without a body the header alone would start the request, so it cannot test the path.
                connection.close();
                return {.status = attempt_status::not_started,
                        .failure = attempt_failure::stale_connection,
                        .detail = "the connection was idle"};
            }
            auto const answer_by = std::min(deadline, now + m_limits.expect_continue_timeout);
            return {.status = attempt_status::answered,
                    .response = connection.exchange_with_expect_continue(request, m_limits.max_body_bytes,
                                                                         answer_by, deadline)};
        }
        return {.status = attempt_status::answered,
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
