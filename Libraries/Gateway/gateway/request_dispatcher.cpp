#include "gateway/request_dispatcher.hpp"

#include "base/log.hpp"
#include "base/random.hpp"

#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <vector>

namespace pomelospread {

namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

/// Answers that are on their way at the deadline are still delivered.
constexpr auto answer_grace = milliseconds(60);
/// When a request that was not run may come back; spread, so that refused callers do not return together.
constexpr double retry_after_low_s = 0.05;
constexpr double retry_after_spread_s = 0.15;
/// A choice waits no longer for checks: a round trip between zones, a new connection and some work.
constexpr auto check_wait = milliseconds(12);
constexpr double min_free_to_hedge = 3;
/// A retry with less time left than this share of the usual work would be a token.
constexpr double least_useful_share = 0.5;
/// A hedge is sent no earlier than this multiple of the usual work, so that ordinary requests have answered.
constexpr double earliest_hedge = 1.2;

std::string_view standard(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::int64_t ms_between(steady_time from, steady_time to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/// Removes the fields that concern one connection only (RFC 9110 section 7.6.1).
template<class Message>
void erase_connection_fields(Message& message) {
    std::vector<std::string> named;
    for (auto const& token : http::token_list(message[http::field::connection])) {
        named.emplace_back(token.data(), token.size());
    }
    for (auto const& name : named) {
        message.erase(name);
    }
    for (auto const* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
                             "Trailer", "Upgrade", "Expect"}) {
        message.erase(name);
    }
}

std::optional<milliseconds> stated_deadline(http_request const& request, std::string_view name) {
    auto const text = field_of(request, name);
    std::int64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parsed.ec != std::errc() || value < 0) {
        return std::nullopt;
    }
    return milliseconds(std::min(value, table_limits::max_deadline_ms));
}

} // namespace

struct request_dispatcher::context {
    http_request& request;
    caller_watch& watch;
    steady_time received;
    std::shared_ptr<route_index const> routes;
    route_row const* route = nullptr;
    std::string id;
    std::string pool;
    steady_time deadline;      ///< The earlier of the caller's and the route's.
    steady_time in_time_until; ///< An answer before it is worth the most.
    account_record record;
    std::uint64_t sequence = 0;
    std::string last_target;
    std::string last_reason;
};

struct request_dispatcher::try_state {
    std::string target;
    endpoint address;
    std::shared_ptr<http_request> request;
    steady_time started;
    steady_time deadline;
    target_client::attempt handle;
    bool done = false;
    bool handled = false;
    exchange_report report;
};

/// The tries of one request. Kept alive by every fiber that works on it.
struct request_dispatcher::race {
    std::vector<std::shared_ptr<try_state>> tries;
    std::vector<std::string> excluded;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;

    void cancel_open() {
        for (auto const& each : tries) {
            if (!each->done) {
                each->handle.cancel();
            }
        }
    }
    [[nodiscard]] std::size_t open() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(tries, [](auto const& each) { return !each->done; }));
    }
    /// Targets that the request may have reached.
    [[nodiscard]] std::int64_t sent() const {
        return std::ranges::count_if(tries, [](auto const& each) { return each->handle.is_sent(); });
    }
};

request_dispatcher::request_dispatcher(io_thread& thread, forwarding_state& state, target_client& targets)
    : m_thread(thread), m_state(state), m_targets(targets), m_checker(thread, state, targets),
      m_places(state) {}

bool request_dispatcher::may_overlap(http_request const& request) const {
    auto const routes = m_state.routes.load();
    auto const* route = routes->find(standard(request[http::field::host]), standard(request.target()));
    return route == nullptr || route->idempotent;
}

http_response request_dispatcher::handle(http_request& request, caller_watch& watch, steady_time received) {
    m_state.counters.add(counter::requests);
    context current{
        .request = request, .watch = watch, .received = received, .routes = m_state.routes.load()};
    current.id = std::string(field_of(request, m_state.dialect.request_id));
    try {
        return serve(current);
    } catch (std::exception const& failure) {
        log_line(log_level::error, "request_failed")
            .field("request", current.id)
            .field("reason", failure.what())
            .write();
        return fail(current, 502, "internal error");
    }
}

http_response request_dispatcher::serve(context& request) {
    auto const host = standard(request.request[http::field::host]);
    auto const target = standard(request.request.target());
    auto& record = request.record;
    record.id = request.id;
    record.customer = normalized_host(host);
    record.unix_ms = unix_ms_now();
    record.method = std::string(standard(request.request.method_string()));
    record.path = std::string(target);
    request.deadline = request.received + milliseconds(1000);
    if (request.routes->content().version == 0) {
        return refuse(request, "no tables yet");
    }
    request.route = request.routes->find(host, target.substr(0, target.find('?')));
    if (request.route == nullptr) {
        return fail(request, 404, "no route");
    }
    auto const& route = *request.route;
    record.route = route.name;
    auto const stated = stated_deadline(request.request, m_state.dialect.deadline_ms);
    request.deadline = request.received + std::min(stated.value_or(route.deadline), route.deadline);
    request.in_time_until = request.received + route.target_latency;
    request.pool = choose_pool(route);
    request.sequence = m_state.account.append(record).value_or(0);
    m_state.extra.of(request.pool).earn();
    return run_tries(request);
}

std::string request_dispatcher::choose_pool(route_row const& route) const {
    if (route.split.empty()) {
        return route.pool;
    }
    std::int64_t total = 0;
    for (auto const& part : route.split) {
        total += part.weight;
    }
    auto draw = static_cast<std::int64_t>(thread_random()() %
                                          static_cast<std::uint64_t>(std::max<std::int64_t>(1, total)));
    for (auto const& part : route.split) {
        draw -= part.weight;
        if (draw < 0) {
            return part.pool;
        }
    }
    return route.split.back().pool;
}

steady_time request_dispatcher::hedge_time(context const& request) const {
    auto const work = m_state.board.usual_work(request.pool);
    auto const earliest = request.received + std::chrono::nanoseconds(static_cast<std::int64_t>(
                                                 static_cast<double>(work.count()) * earliest_hedge));
    // The last moment at which a second try of the usual length is in time.
    auto const latest = request.in_time_until - work - milliseconds(20);
    return std::max(earliest, latest);
}

bool request_dispatcher::wait_for_place(context const& request) {
    auto const work = m_state.board.usual_work(request.pool);
    return m_places.acquire({.request_id = request.id,
                             .pool = request.pool,
                             .limits = {.priority = request.route->priority,
                                        .latest_in_time = request.in_time_until - work,
                                        .latest_useful = request.deadline - work}},
                            request.watch);
}

void request_dispatcher::look_at_targets(context const& request, race const& tries) {
    auto const now = std::chrono::steady_clock::now();
    auto const pool = std::ranges::find(request.routes->content().pools, request.pool, &pool_row::name);
    if (pool == request.routes->content().pools.end() || pool->health_path.empty()) {
        return;
    }
    std::vector<status_checker::check_target> checked;
    for (auto const& each :
         m_state.board.worth_checking(request.pool, tries.excluded, m_state.settings.checked_candidates,
                                      m_state.settings.fresh_report, now, thread_random())) {
        checked.push_back({.id = each.id, .address = each.address});
    }
    if (!checked.empty()) {
        m_checker.refresh(checked, pool->health_path, now + check_wait);
    }
}

bool request_dispatcher::start_try(context& request, race& tries, std::string_view purpose) {
    auto const now = std::chrono::steady_clock::now();
    auto const choice = m_state.board.choose(request.pool, tries.excluded, now, thread_random());
    if (!choice) {
        log_line(log_level::info, "no_target")
            .field("request", request.id)
            .field("pool", request.pool)
            .field("purpose", purpose)
            .field("usable", static_cast<std::uint64_t>(m_state.board.usable(request.pool)))
            .write();
        return false;
    }
    auto const left = ms_between(now, request.deadline);
    auto state = std::make_shared<try_state>();
    state->target = choice->id;
    state->address = choice->address;
    state->started = now;
    state->deadline = request.deadline + answer_grace;
    state->request = std::make_shared<http_request>(request.request);
    erase_connection_fields(*state->request);
    state->request->keep_alive(true);
    state->request->prepare_payload();
    set_field(*state->request, m_state.dialect.deadline_ms, std::to_string(std::max<std::int64_t>(1, left)));
    set_field(*state->request, m_state.dialect.expected_target, choice->id);
    log_line(log_level::info, "target_chosen")
        .field("request", request.id)
        .field("route", request.route->name)
        .field("tables", request.routes->content().version)
        .field("pool", request.pool)
        .field("target", choice->id)
        .field("purpose", purpose)
        .field("expected_ms", static_cast<std::int64_t>(choice->expected_ms))
        .field("slowdown_percent", static_cast<std::int64_t>(choice->slowdown * 100))
        .field("report_age_ms", choice->report_age_ms)
        .field("in_flight", static_cast<std::int64_t>(choice->in_flight))
        .field("others", static_cast<std::int64_t>(std::lround(choice->others)))
        .field("failure_percent", static_cast<std::int64_t>(choice->failure_rate * 100))
        .field("candidates", static_cast<std::uint64_t>(choice->candidates))
        .field("left_ms", left)
        .write();
    m_state.board.start(choice->id);
    m_state.changes.note(choice->id);
    m_state.counters.add(counter::target_exchanges);
    tries.excluded.push_back(choice->id);
    tries.tries.push_back(std::move(state));
    return true;
}

void request_dispatcher::run_try(std::shared_ptr<race> const& tries,
                                 std::shared_ptr<try_state> const& state) {
    state->report =
        m_targets.exchange(state->target, state->address, state->request, state->deadline, state->handle);
    state->done = true;
    learn(*state, state->report);
    tries->changed.notify_all();
}

void request_dispatcher::learn(try_state const& state, exchange_report const& report) {
    auto const now = std::chrono::steady_clock::now();
    auto outcome = board_outcome::answered;
    if (state.handle.is_cancelled()) {
        outcome = board_outcome::cancelled;
    } else if (report.end == exchange_end::not_run) {
        outcome = report.wrong_target ? board_outcome::failed : board_outcome::refused;
    } else if (report.end != exchange_end::answered) {
        outcome = now >= state.deadline ? board_outcome::timed_out : board_outcome::failed;
        m_state.counters.add(report.end == exchange_end::not_sent ? counter::target_connect_failures
                                                                  : counter::target_exchanges_broken);
    } else if (report.response->result_int() >= 500) {
        outcome = board_outcome::failed;
    }
    m_state.board.finish(state.target, outcome, now - state.started, now);
    m_state.counters.target_latency.observe(now - state.started);
    if (report.load) {
        m_state.board.report(state.target, *report.load, now);
    }
    m_state.changes.note(state.target, report.load,
                         outcome == board_outcome::failed || outcome == board_outcome::timed_out, now);
    if (report.wrong_target) {
        m_state.board.retire(state.target);
    }
    if (auto const* pool = m_state.board.pool_of(state.target); pool != nullptr) {
        m_places.wake(*pool);
    }
    if (report.end != exchange_end::answered) {
        log_line(log_level::info, "try_failed")
            .field("request", field_of(*state.request, m_state.dialect.request_id))
            .field("target", state.target)
            .field("sent", state.handle.is_sent() ? "yes" : "no")
            .field("cancelled", state.handle.is_cancelled() ? "yes" : "no")
            .field("after_ms", ms_between(state.started, now))
            .field("reason", report.reason)
            .write();
    }
}

http_response request_dispatcher::run_tries(context& request) {
    auto const tries = std::make_shared<race>();
    auto const& route = *request.route;
    auto& budget = m_state.extra.of(request.pool);
    auto const launch = [&](std::string_view purpose) {
        if (!wait_for_place(request)) {
            return false;
        }
        request.watch.set_listener([tries] {
            tries->cancel_open();
            tries->changed.notify_all();
        });
        look_at_targets(request, *tries);
        m_places.started(request.pool);
        bool const is_over = std::chrono::steady_clock::now() >= request.deadline;
        if (is_over || request.watch.is_gone() || !start_try(request, *tries, purpose)) {
            m_places.wake(request.pool);
            return false;
        }
        m_thread.spawn([this, tries, state = tries->tries.back()] { run_try(tries, state); });
        return true;
    };
    if (!launch("first")) {
        return refuse(request, "no place at a target in time");
    }
    auto const hedge_at = hedge_time(request);
    bool hedged = !route.idempotent || route.max_attempts < 2;
    std::optional<http_response> failure; ///< A target's own answer that is worth another try.
    bool may_have_run = false;
    for (;;) {
        if (request.watch.is_gone()) {
            return fail(request, 502, "the caller left");
        }
        auto const now = std::chrono::steady_clock::now();
        for (auto const& each : tries->tries) {
            if (!each->done || each->handled) {
                continue;
            }
            each->handled = true;
            request.last_target = each->target;
            auto& report = each->report;
            if (report.end == exchange_end::answered) {
                may_have_run = true;
                if (report.response->result_int() < 500 || !route.idempotent) {
                    tries->cancel_open();
                    return finish(request, std::move(*report.response), "ran");
                }
                failure = std::move(report.response);
                continue;
            }
            request.last_reason = report.reason;
            may_have_run = may_have_run || report.end == exchange_end::broken;
        }
        if (tries->open() == 0) {
            if (may_have_run && !route.idempotent) {
                return fail(request, now >= request.deadline ? 504 : 502, request.last_reason);
            }
            auto const left = std::chrono::duration<double, std::milli>(request.deadline - now).count();
            auto const work =
                std::chrono::duration<double, std::milli>(m_state.board.usual_work(request.pool)).count();
            bool const in_time = left > std::max(1.0, work * least_useful_share);
            bool const was_sent = tries->tries.back()->handle.is_sent();
            bool const allowed = tries->sent() < route.max_attempts && tries->tries.size() < 8;
            bool launched = false;
            if (in_time && allowed && (!was_sent || budget.try_spend())) {
                m_state.counters.add(counter::retries);
                launched = launch("retry");
            }
            if (!launched) {
                if (failure) {
                    return finish(request, std::move(*failure), "ran");
                }
                if (!may_have_run) {
                    return refuse(request, request.last_reason);
                }
                return fail(request, now >= request.deadline ? 504 : 502, request.last_reason);
            }
            continue;
        }
        if (now >= request.deadline + answer_grace) {
            tries->cancel_open();
            if (tries->sent() == 0) {
                return refuse(request, "the time ended before a target was reached");
            }
            return fail(request, 504, "no answer in time");
        }
        auto wake = request.deadline + answer_grace;
        if (!hedged) {
            if (now >= hedge_at) {
                hedged = true;
                // Under load a second copy would take a place from a request that has none.
                bool const has_room = !m_places.has_waiting(request.pool) &&
                                      m_state.board.free_places(request.pool, now) >= min_free_to_hedge;
                if (tries->sent() < route.max_attempts && has_room && budget.try_spend()) {
                    m_state.counters.add(counter::hedges);
                    static_cast<void>(launch("hedge"));
                }
                continue;
            }
            wake = std::min(wake, hedge_at);
        }
        std::unique_lock lock(tries->mutex);
        tries->changed.wait_until(lock, wake);
    }
}

http_response request_dispatcher::refuse(context& request, std::string_view reason) {
    auto response = make_response(503, "application/json",
                                  "{\"error\":\"not_run\",\"reason\":\"" + std::string(reason) + "\"}\n");
    auto const draw = static_cast<double>(thread_random()() % 1000) / 1000.0;
    auto text = std::to_string(retry_after_low_s + draw * retry_after_spread_s);
    text.resize(5);
    set_field(response, m_state.dialect.retry_after, text);
    request.last_reason = reason;
    return finish(request, std::move(response), "not-run");
}

http_response request_dispatcher::fail(context& request, unsigned status, std::string_view reason) {
    request.last_reason = reason;
    return finish(
        request,
        make_response(status, "application/json",
                      "{\"error\":\"" + std::string(status == 404 ? "no_route" : "unknown") + "\"}\n"),
        status == 404 ? "not-run" : "unknown");
}

http_response request_dispatcher::finish(context& request, http_response response, std::string_view outcome) {
    request.watch.clear_listener();
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
    erase_connection_fields(response);
    response.version(11);
    if (!request.id.empty()) {
        set_field(response, m_state.dialect.request_id, request.id);
    }
    if (request.request.method() != http::verb::head) {
        response.prepare_payload();
    }
    log_line(log_level::info, "request_done")
        .field("request", request.id)
        .field("route", record.route)
        .field("tables", request.routes->content().version)
        .field("pool", request.pool)
        .field("target", request.last_target)
        .field("outcome", outcome)
        .field("status", static_cast<std::int64_t>(response.result_int()))
        .field("caller_gone", request.watch.is_gone() ? "yes" : "no")
        .field("reason", request.last_reason)
        .field("ms", ms_between(request.received, now))
        .write();
    return response;
}

} // namespace pomelospread
