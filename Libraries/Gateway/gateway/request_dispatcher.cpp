#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/request_dispatcher_state.hpp"

#include <charconv>

namespace pomelospread {

namespace http = boost::beast::http;

namespace {

using detail::response_grace_period;
using std::chrono::milliseconds;

/// Of a host or path that no route matches, in the log.
constexpr std::size_t max_logged_characters = 128;
/// A retry needs at least this share of the typical service time until the deadline; with less, it has hardly
/// a chance to finish.
constexpr double min_retry_time_ratio = 0.5;

std::string_view to_std_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

std::optional<milliseconds> parse_deadline(http_request const& request, std::string_view name) {
    auto const text = header_field(request, name);
    std::int64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || value < 0) {
        return std::nullopt;
    }
    return milliseconds(std::min(value, routing_table_limits::max_deadline_ms));
}

} // namespace

request_dispatcher::request_dispatcher(io_thread& thread, forwarding_state& state, target_client& targets)
    : m_thread(thread), m_state(state), m_target_client(targets), m_load_prober(thread, state, targets),
      m_admission(state) {}

bool request_dispatcher::may_run_concurrently(http_request const& request) const {
    auto const routes = m_state.routes.load();
    auto const* route = routes->find(to_std_view(request[http::field::host]), to_std_view(request.target()));
    return route == nullptr || route->idempotent;
}

http_response request_dispatcher::handle(http_request& request, interruption_notifier& notifier,
                                         steady_time received) {
    m_state.counters.add(counter::requests);
    request_state current{
        .request = request, .notifier = notifier, .received = received, .routes = m_state.routes.load()};
    current.id = std::string(header_field(request, m_state.wire_format.request_id_header));
    try {
        return route_request(current);
    } catch (std::exception const& failure) {
        log_line(log_level::error, "request_failed")
            .field("request", current.id)
            .field("reason", failure.what())
            .write();
        return finish_failed(current, 502, "internal error");
    }
}

http_response request_dispatcher::route_request(request_state& request) {
    auto const host = to_std_view(request.request[http::field::host]);
    auto const target = to_std_view(request.request.target());
    auto& record = request.record;
    record.id = request.id;
    record.customer = normalized_host(host);
    record.unix_ms = unix_ms_now();
    record.method = std::string(to_std_view(request.request.method_string()));
    record.path = std::string(target);
    request.deadline = request.received + milliseconds(1000);
    if (request.routes->tables().version == 0) {
        return finish_not_run(request, "no tables yet");
    }
    request.route = request.routes->find(host, target.substr(0, target.find('?')));
    if (request.route == nullptr) {
        m_state.counters.add(counter::requests_without_route);
        log_line(log_level::info, "no_route")
            .field("request", request.id)
            .field("host", host.substr(0, max_logged_characters))
            .field("path", target.substr(0, max_logged_characters))
            .field("tables", request.routes->tables().version)
            .field("routes", static_cast<std::uint64_t>(request.routes->tables().routes.size()))
            .write();
        return finish_failed(request, 404, "no route");
    }
    auto const& route = *request.route;
    record.route = route.name;
    if (auto response = admit_workspace(request)) {
        return std::move(*response);
    }
    auto const caller_deadline = parse_deadline(request.request, m_state.wire_format.deadline_header);
    request.deadline = request.received + std::min(caller_deadline.value_or(route.deadline), route.deadline);
    request.target_latency_deadline = request.received + route.latency_objective;
    if (request.deadline + response_grace_period > m_state.serving_ends_at) {
        return finish_not_run(request, "the instance stops before the deadline");
    }
    request.pool = choose_pool(route);
    request.sequence = m_state.account.append(record).value_or(0);
    m_state.extra_attempts.deposit(request.pool);
    m_state.hedges.deposit(request.pool);
    return run_attempts(request);
}

std::optional<http_response> request_dispatcher::admit_workspace(request_state& request) {
    if (!request.routes->tables().workspaces) {
        return std::nullopt;
    }
    // Several keys are ambiguous, and one of them may be another workspace's.
    auto const& name = m_state.wire_format.key_header;
    if (request.request.count(name) == 1) {
        request.workspace = request.routes->find_workspace(header_field(request.request, name));
    }
    if (request.workspace == nullptr) {
        if (!request.routes->needs_key(*request.route)) {
            return std::nullopt;
        }
        m_state.counters.add(counter::requests_without_workspace);
        return finish_failed(request, 401, "no workspace holds the key");
    }
    request.record.customer = request.workspace->name;
    if (auto const retry_after = m_state.rates.admit(*request.workspace)) {
        m_state.counters.add(counter::refused_over_rate);
        return finish_over_rate(request, *retry_after);
    }
    request.has_rate_token = true;
    return std::nullopt;
}

std::string request_dispatcher::choose_pool(route_row const& route) const {
    if (route.weighted_pools.empty()) {
        return route.pool;
    }
    std::int64_t total = 0;
    for (auto const& weighted : route.weighted_pools) {
        total += weighted.weight;
    }
    auto remaining = static_cast<std::int64_t>(thread_random()() %
                                               static_cast<std::uint64_t>(std::max<std::int64_t>(1, total)));
    for (auto const& weighted : route.weighted_pools) {
        remaining -= weighted.weight;
        if (remaining < 0) {
            return weighted.pool;
        }
    }
    return route.weighted_pools.back().pool;
}

http_response request_dispatcher::run_attempts(request_state& request) {
    auto const attempts = std::make_shared<attempt_set>();
    auto const& route = *request.route;
    m_admission.record_arrival(request.pool, request.groups(), request.received);
    if (!start_attempt(request, attempts, "first")) {
        bool const is_paused =
            m_state.selector.paused_until(request.pool, std::chrono::steady_clock::now()).has_value();
        return finish_not_run(request,
                              is_paused ? "every target asked for a pause" : "no place at a target in time");
    }
    bool const may_hedge = route.idempotent && m_state.settings.hedge_ratio > 0;
    /// The last 5xx response to an idempotent request; the caller receives it if no further attempt gets a
    /// response below 500 or can be made.
    std::optional<http_response> error_response;
    bool may_have_run = false;
    for (;;) {
        if (request.notifier.is_disconnected()) {
            return finish_failed(request, 502, "the caller disconnected");
        }
        auto const now = std::chrono::steady_clock::now();
        for (auto const& each : attempts->states) {
            if (!each->is_finished || each->is_result_handled) {
                continue;
            }
            each->is_result_handled = true;
            request.last_target = each->target;
            auto& report = each->report;
            if (report.outcome == exchange_outcome::response_received) {
                may_have_run = true;
                if (report.response->result_int() < 500 || !route.idempotent) {
                    attempts->cancel_unfinished();
                    if (each->is_hedge) {
                        m_state.counters.add(counter::hedge_wins);
                    }
                    return finish_request(request, std::move(*report.response), "ran");
                }
                error_response = std::move(report.response);
                continue;
            }
            request.last_reason = report.failure_reason;
            may_have_run = may_have_run || report.outcome == exchange_outcome::incomplete ||
                           report.outcome == exchange_outcome::status_withheld;
        }
        if (request.notifier.is_serving_over()) {
            return finish_interrupted(request, *attempts, may_have_run, std::move(error_response));
        }
        if (attempts->unfinished_count() == 0) {
            if (may_have_run && !route.idempotent) {
                return finish_failed(request, now >= request.deadline ? 504 : 502, request.last_reason);
            }
            auto const remaining_ms =
                std::chrono::duration<double, std::milli>(request.deadline - now).count();
            auto const service_ms =
                std::chrono::duration<double, std::milli>(m_state.selector.typical_service_time(request.pool))
                    .count();
            bool const has_time = remaining_ms > std::max(1.0, service_ms * min_retry_time_ratio);
            bool const was_sent = attempts->states.back()->handle.is_sent();
            bool const within_limits =
                attempts->sent_count() < route.max_attempts && attempts->states.size() < 8;
            bool started = false;
            // A retry waits for a permit, but not for targets to be usable again.
            bool const has_other_target =
                m_state.selector.usable_target_count(request.pool, attempts->excluded_targets, now) > 0;
            if (has_time && within_limits && has_other_target &&
                (!was_sent || m_state.extra_attempts.try_withdraw(request.pool))) {
                m_state.counters.add(counter::retries);
                started = start_attempt(request, attempts, "retry");
            }
            if (!started) {
                if (error_response) {
                    return finish_request(request, std::move(*error_response), "ran");
                }
                if (!may_have_run) {
                    return finish_not_run(request, request.last_reason);
                }
                return finish_failed(request, now >= request.deadline ? 504 : 502, request.last_reason);
            }
            continue;
        }
        if (now >= request.deadline + response_grace_period) {
            attempts->cancel_unfinished();
            if (error_response) {
                return finish_request(request, std::move(*error_response), "ran");
            }
            if (attempts->sent_count() == 0) {
                return finish_not_run(request, "the time ended before a target was reached");
            }
            return finish_failed(request, 504, "no answer in time");
        }
        auto wake_at = request.deadline + response_grace_period;
        if (may_hedge) {
            if (now >= attempts->hedge_look_at) {
                attempts->hedge_look_at = consider_hedge(request, attempts, now);
            }
            wake_at = std::min(wake_at, attempts->hedge_look_at);
        }
        std::unique_lock lock(attempts->mutex);
        attempts->changed.wait_until(lock, wake_at);
    }
}

} // namespace pomelospread
