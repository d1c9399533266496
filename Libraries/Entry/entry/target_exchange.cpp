#include "entry/target_exchange.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr auto max_idle_time = std::chrono::seconds(30);

bool is_shed(http_response const& response) {
    return response.result_int() == 503 && field_of(response, header::not_started) == "1";
}

} // namespace

target_exchange::target_exchange(boost::asio::io_context& io, std::size_t idle_per_target,
                                 exchange_limits limits, metrics& counters)
    : m_limits(limits), m_metrics(counters), m_connections(io, idle_per_target, max_idle_time) {}

void target_exchange::cancel_handle::cancel() {
    cancelled = true;
    if (connection != nullptr) {
        connection->close();
    }
}

try_outcome target_exchange::try_once(endpoint const& target, http_request const& request, bool idempotent,
                                      steady_time deadline, std::size_t max_idle, cancel_handle& handle) {
    m_metrics.add(counter::target_exchanges);
    auto connection = m_connections.take_idle(target);
    bool const fresh = connection == nullptr;
    if (fresh) {
        try {
            auto const connect_by =
                std::min(deadline, std::chrono::steady_clock::now() + m_limits.connect_timeout);
            connection = m_connections.open(target, connect_by);
        } catch (error const& failure) {
            m_metrics.add(counter::target_connect_failures);
            return {.result = try_result::not_started,
                    .response = std::nullopt,
                    .failure = try_failure::no_connection,
                    .detail = failure.what()};
        }
    }
    if (handle.cancelled) {
        m_connections.give_back(target, std::move(connection), max_idle);
        return {.result = try_result::not_started, .failure = try_failure::cancelled, .detail = "cancelled"};
    }
    handle.connection = connection.get();
    auto outcome = send(*connection, fresh, request, idempotent, deadline);
    handle.connection = nullptr;
    if (outcome.result == try_result::answered && !is_own_answer(target, request, *outcome.response)) {
        connection->close();
        outcome = {.result = try_result::broken,
                   .failure = try_failure::no_whole_answer,
                   .detail = "the answer is another request's"};
    }
    if (outcome.result == try_result::answered && is_shed(*outcome.response)) {
        outcome = {
            .result = try_result::not_started, .failure = try_failure::shed, .detail = "shed by the target"};
    }
    if (outcome.result == try_result::broken && !fresh && idempotent) {
        // RFC 9110 section 9.2.2: an idempotent request may be sent again on a new connection.
        outcome.failure = try_failure::dead_connection;
    }
    if (outcome.result == try_result::broken || outcome.failure == try_failure::dead_connection) {
        m_metrics.add(counter::target_exchanges_broken);
        // Other idle connections may have lost the same path; new ones tell whether the target lives.
        m_connections.drop(target);
        return outcome;
    }
    m_connections.give_back(target, std::move(connection), max_idle);
    return outcome;
}

bool target_exchange::is_own_answer(endpoint const& target, http_request const& request,
                                    http_response const& response) {
    auto const told = field_of(response, header::request_id);
    if (told.empty()) {
        return !m_echoing.contains(target);
    }
    m_echoing.insert(target);
    return told == field_of(request, header::request_id);
}

try_outcome target_exchange::send(http_connection& connection, bool fresh, http_request const& request,
                                  bool idempotent, steady_time deadline) {
    auto const now = std::chrono::steady_clock::now();
    bool const untested = !fresh && now - connection.last_used() > m_limits.trusted_idle;
    try {
        if (untested && !idempotent) {
            if (request.body().empty()) {
                // Without a body the header alone would start the request, so it cannot test the path.
                connection.close();
                return {.result = try_result::not_started,
                        .failure = try_failure::dead_connection,
                        .detail = "the connection was idle"};
            }
            auto const answer_by = std::min(deadline, now + m_limits.expect_timeout);
            return {.result = try_result::answered,
                    .response = connection.exchange_with_expect(request, m_limits.max_body_bytes, answer_by,
                                                                deadline)};
        }
        return {.result = try_result::answered,
                .response = connection.exchange(request, m_limits.max_body_bytes, deadline)};
    } catch (not_started const& failure) {
        return {.result = try_result::not_started,
                .failure = try_failure::dead_connection,
                .detail = failure.what()};
    } catch (error const& failure) {
        return {
            .result = try_result::broken, .failure = try_failure::no_whole_answer, .detail = failure.what()};
    }
}

} // namespace pomelospread
