#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/request_dispatcher_state.hpp"

// How a request ends: the response to its caller, its account record and its log line.
namespace pomelospread {

namespace http = boost::beast::http;

namespace {

/// Retry-After of a request that was not run; randomized, so that refused callers do not all retry at once.
constexpr double min_retry_after_s = 0.05;
constexpr double retry_after_jitter_s = 0.15;
/// Retry-After of an instance that stops: others serve its callers at once.
constexpr double retry_elsewhere_after_s = 0.001;

std::string_view error_name(unsigned status) {
    return status == 404 ? "no_route" : status == 401 ? "unknown_key" : "unknown";
}

} // namespace

http_response request_dispatcher::finish_interrupted(request_state& request, attempt_set& attempts,
                                                     bool may_have_run,
                                                     std::optional<http_response> error_response) {
    attempts.cancel_unfinished();
    if (error_response) {
        return finish_request(request, std::move(*error_response), "ran");
    }
    bool const is_running = std::ranges::any_of(
        attempts.states, [](auto const& each) { return !each->is_result_handled && each->handle.is_sent(); });
    return may_have_run || is_running
               ? finish_failed(request, 504, "the instance stops before the response")
               : finish_not_run(request, "the instance stops before a target is reached");
}

http_response request_dispatcher::finish_over_rate(request_state& request,
                                                   std::chrono::nanoseconds retry_after) {
    auto response = make_response(429, "application/json", "{\"error\":\"over_rate\"}\n");
    auto text = std::to_string(std::chrono::duration<double>(retry_after).count());
    text.resize(text.find('.') + 4);
    set_header_field(response, m_state.wire_format.retry_after_header, text);
    request.last_reason = "the workspace is over its rate";
    return finish_request(request, std::move(response), "not-run");
}

http_response request_dispatcher::finish_not_run(request_state& request, std::string_view reason) {
    if (std::exchange(request.has_rate_token, false)) {
        m_state.rates.give_back(*request.workspace);
    }
    auto response = make_response(503, "application/json",
                                  "{\"error\":\"not_run\",\"reason\":\"" + std::string(reason) + "\"}\n");
    auto const jitter = static_cast<double>(thread_random()() % 1000) / 1000.0;
    bool const is_stopping = m_state.serving_ends_at != steady_time::max();
    auto seconds = is_stopping ? retry_elsewhere_after_s : min_retry_after_s + jitter * retry_after_jitter_s;
    auto const now = std::chrono::steady_clock::now();
    if (!is_stopping && !request.pool.empty() && request.routes->tables().workspaces) {
        seconds = std::chrono::duration<double>(m_admission.retry_delay(request.pool, now)).count();
    }
    if (auto const paused_until = m_state.selector.paused_until(request.pool, now)) {
        seconds += std::chrono::duration<double>(*paused_until - now).count();
    }
    auto text = std::to_string(seconds);
    text.resize(text.find('.') + 4);
    set_header_field(response, m_state.wire_format.retry_after_header, text);
    request.last_reason = reason;
    return finish_request(request, std::move(response), "not-run");
}

http_response request_dispatcher::finish_failed(request_state& request, unsigned status,
                                                std::string_view reason) {
    request.last_reason = reason;
    return finish_request(request,
                          make_response(status, "application/json",
                                        "{\"error\":\"" + std::string(error_name(status)) + "\"}\n"),
                          status == 404 || status == 401 ? "not-run" : "unknown");
}

http_response request_dispatcher::finish_request(request_state& request, http_response response,
                                                 std::string_view outcome) {
    request.notifier.clear_handler();
    auto const now = std::chrono::steady_clock::now();
    auto& record = request.record;
    record.outcome = std::string(outcome);
    record.target = request.last_target;
    record.status = static_cast<std::uint16_t>(response.result_int());
    if (request.sequence != 0) {
        m_state.account.complete(request.sequence, record);
    } else if (!m_state.account.append(record)) {
        m_state.counters.add(counter::records_refused);
    }
    m_state.counters.add(outcome == "ran"       ? counter::outcome_ran
                         : outcome == "not-run" ? counter::outcome_not_run
                                                : counter::outcome_unknown);
    m_state.counters.request_latency.observe(now - request.received);
    detail::erase_connection_fields(response);
    response.version(11);
    if (!request.id.empty()) {
        set_header_field(response, m_state.wire_format.request_id_header, request.id);
    }
    if (request.request.method() != http::verb::head) {
        response.prepare_payload();
    }
    log_line(log_level::info, "request_done")
        .field("request", request.id)
        .field("route", record.route)
        .field("workspace", request.workspace == nullptr ? std::string_view() : request.workspace->name)
        .field("tables", request.routes->tables().version)
        .field("pool", request.pool)
        .field("target", request.last_target)
        .field("outcome", outcome)
        .field("status", static_cast<std::int64_t>(response.result_int()))
        .field("caller_gone", request.notifier.is_disconnected() ? "yes" : "no")
        .field("reason", request.last_reason)
        .field("ms", detail::ms_between(request.received, now))
        .write();
    return response;
}

} // namespace pomelospread
