#include "gateway/request_dispatcher.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "coordination/hedge_inputs.hpp"
#include "gateway/target_notices.hpp"

#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <vector>

namespace pomelospread {

namespace http = boost::beast::http;

namespace {

using std::chrono::milliseconds;

/// A response that arrives up to this long after the deadline is still delivered, since it may have been in
/// transit at the deadline.
constexpr auto response_grace_period = milliseconds(60);
/// Retry-After of a request that was not run; randomized, so that refused callers do not all retry at once.
constexpr double min_retry_after_s = 0.05;
constexpr double retry_after_jitter_s = 0.15;
/// Retry-After of an instance that stops: others serve its callers at once.
constexpr double retry_elsewhere_after_s = 0.001;
/// Of a host or path that no route matches, in the log.
constexpr std::size_t max_logged_characters = 128;
/// Longest wait for load probes before a target is chosen: enough for a round trip between zones, a new
/// connection and the target's processing.
constexpr auto max_probe_wait = milliseconds(12);
/// Of one round of a search. A target that takes longer is silent, busy or far, and others are asked.
constexpr auto max_search_round_wait = milliseconds(8);
/// How often a request waits for a permit before it is sent to a target that turned out to be slow or full.
constexpr int max_choice_rounds = 8;
/// A retry needs at least this share of the typical service time until the deadline; with less, it has hardly
/// a chance to finish.
constexpr double min_retry_time_ratio = 0.5;

std::string_view to_std_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::int64_t ms_between(steady_time from, steady_time to) {
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

/// Removes the header fields that apply to a single connection (RFC 9110 section 7.6.1).
template<class Message>
void erase_connection_fields(Message& message) {
    std::vector<std::string> connection_options;
    for (auto const& token : http::token_list(message[http::field::connection])) {
        connection_options.emplace_back(token.data(), token.size());
    }
    for (auto const& name : connection_options) {
        message.erase(name);
    }
    for (auto const* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
                             "Trailer", "Upgrade", "Expect"}) {
        message.erase(name);
    }
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

std::uint32_t name_hash(std::string_view name) {
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

std::string_view error_name(unsigned status) {
    return status == 404 ? "no_route" : status == 401 ? "unknown_key" : "unknown";
}

} // namespace

struct request_dispatcher::request_state {
    http_request& request;
    interruption_notifier& notifier;
    steady_time received;
    std::shared_ptr<route_index const> routes;
    route_row const* route = nullptr;
    workspace_row const* workspace = nullptr; ///< Of the caller's key.
    bool has_rate_token = false;
    std::string id;
    std::string pool;
    steady_time deadline;                ///< The earlier of the caller's and the route's.
    steady_time target_latency_deadline; ///< A response that arrives before this time is on time.
    account_record record;
    std::uint64_t sequence = 0; ///< Of the account record; 0: none was appended.
    std::string last_target;
    std::string last_reason;

    [[nodiscard]] std::int64_t priority() const {
        return workspace == nullptr ? route->priority : workspace->priority.value_or(route->priority);
    }
    /// The same on every instance and in every version of the tables.
    [[nodiscard]] request_groups groups() const {
        return {.route = name_hash(route->name),
                // 0 stands for no workspace.
                .workspace = workspace == nullptr ? 0U : std::max(1U, name_hash(workspace->name))};
    }
};

struct request_dispatcher::attempt_state {
    std::string target;
    endpoint address;
    std::int64_t incarnation = 0;
    std::optional<double> slowdown; ///< Of the target, as the choice knew it.
    std::shared_ptr<http_request> request;
    steady_time started;
    steady_time deadline;
    target_client::exchange_handle handle;
    bool is_hedge = false;
    bool is_finished = false;
    bool is_result_handled = false;
    exchange_report report;
};

/// The attempts of one request. Shared by the fibers that work on the request.
struct request_dispatcher::attempt_set {
    std::vector<std::shared_ptr<attempt_state>> states;
    std::vector<std::string> excluded_targets;
    steady_time hedge_look_at = steady_time::min();
    steady_time next_hedge_probe_at = steady_time::min();
    bool is_hedge_over_limit = false;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;

    void cancel_unfinished() {
        for (auto const& each : states) {
            if (!each->is_finished) {
                each->handle.cancel();
            }
        }
    }
    [[nodiscard]] std::size_t unfinished_count() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(states, [](auto const& each) { return !each->is_finished; }));
    }
    /// Attempts of which bytes may have reached the target.
    [[nodiscard]] std::int64_t sent_count() const {
        return std::ranges::count_if(states, [](auto const& each) { return each->handle.is_sent(); });
    }
    /// Also counts the attempts that are still being connected.
    [[nodiscard]] std::int64_t possibly_sent_count() const {
        return std::ranges::count_if(
            states, [](auto const& each) { return !each->is_finished || each->handle.is_sent(); });
    }
};

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
    m_state.extra_attempts.budget_for(request.pool).deposit();
    m_state.hedges.budget_for(request.pool).deposit();
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

steady_time request_dispatcher::consider_hedge(request_state& request,
                                               std::shared_ptr<attempt_set> const& attempts,
                                               steady_time now) {
    auto const& current = **std::ranges::find_if(attempts->states.rbegin(), attempts->states.rend(),
                                                 [](auto const& each) { return !each->is_finished; });
    hedged_request subject{.age = now - request.received,
                           .time_since_sent = now - current.started,
                           .objective = request.target_latency_deadline - request.received,
                           .deadline = request.deadline - request.received,
                           .attempts = attempts->possibly_sent_count(),
                           .max_attempts = request.route->max_attempts};
    set_last_report(subject, m_state.selector, current.target, now);
    auto const times = read_pool_times(m_state.selector, request.pool);
    std::optional<target_choice> best;
    hedge_room room;
    if (m_hedge_policy.find_reason(subject, times)) {
        best = m_state.selector.best_reported_target(request.pool, attempts->excluded_targets,
                                                     m_hedge_policy.limits().max_report_age, now);
        room = {.best_target = to_hedge_target(best),
                .has_queued_requests = m_admission.has_queued_requests(request.pool),
                .available_capacity = m_state.selector.available_capacity(request.pool, now)};
    }
    auto const decision = m_hedge_policy.decide(subject, times, room);
    if (decision.action == hedge_action::never) {
        return steady_time::max();
    }
    if (decision.needs_report) {
        probe_for_hedge(request, attempts, now);
    }
    if (decision.action == hedge_action::look_again) {
        return request.received + decision.look_at;
    }
    auto const next_look = now + m_hedge_policy.limits().blocked_look_interval;
    auto& hedges = m_state.hedges.budget_for(request.pool);
    if (hedges.balance() < 1.0 || !m_state.extra_attempts.budget_for(request.pool).try_withdraw()) {
        if (!std::exchange(attempts->is_hedge_over_limit, true)) {
            m_state.counters.add(counter::hedges_over_limit);
        }
        return next_look;
    }
    static_cast<void>(hedges.try_withdraw());
    m_state.counters.add(counter::hedges);
    prepare_attempt(request, *attempts, *best, "hedge");
    attempts->states.back()->is_hedge = true;
    m_thread.spawn([this, attempts, state = attempts->states.back()] { run_attempt(attempts, state); });
    return next_look;
}

void request_dispatcher::probe_for_hedge(request_state const& request,
                                         std::shared_ptr<attempt_set> const& attempts, steady_time now) {
    auto const pool = std::ranges::find(request.routes->tables().pools, request.pool, &pool_row::name);
    if (now < attempts->next_hedge_probe_at || pool == request.routes->tables().pools.end() ||
        pool->health_path.empty()) {
        return;
    }
    attempts->next_hedge_probe_at = now + m_hedge_policy.limits().max_report_age;
    std::vector<load_prober::probe_target> targets;
    for (auto const& each : m_state.selector.probe_candidates(
             request.pool, attempts->excluded_targets, m_state.settings.probed_candidates,
             m_hedge_policy.limits().max_report_age, now, thread_random())) {
        targets.push_back({.id = each.id, .incarnation = each.incarnation, .address = each.address});
    }
    if (targets.empty()) {
        return;
    }
    // In a fiber of its own: the first attempt's response must not wait for the probes.
    m_thread.spawn([this, attempts, targets, path = pool->health_path, until = now + max_probe_wait] {
        m_load_prober.probe_targets(targets, path, until);
        attempts->hedge_look_at = std::chrono::steady_clock::now();
        attempts->changed.notify_all();
    });
}

bool request_dispatcher::wait_for_permit(request_state const& request) {
    auto const service_time = m_state.selector.typical_service_time(request.pool);
    return m_admission.acquire_permit(
        {.request_id = request.id,
         .pool = request.pool,
         .deadlines = {.priority = request.priority(),
                       .groups = request.groups(),
                       .soft_start_deadline = request.target_latency_deadline - service_time,
                       .hard_start_deadline = request.deadline - service_time}},
        request.notifier);
}

void request_dispatcher::probe_candidates(request_state const& request, attempt_set const& attempts) {
    auto const now = std::chrono::steady_clock::now();
    auto const pool = std::ranges::find(request.routes->tables().pools, request.pool, &pool_row::name);
    if (pool == request.routes->tables().pools.end() || pool->health_path.empty()) {
        return;
    }
    auto const probe = [&](std::vector<target_choice> const& choices, steady_time until,
                           load_prober::target_predicate const& is_enough) {
        std::vector<load_prober::probe_target> targets;
        for (auto const& each : choices) {
            targets.push_back({.id = each.id, .incarnation = each.incarnation, .address = each.address});
        }
        if (!targets.empty()) {
            m_load_prober.probe_targets(targets, pool->health_path, until, is_enough);
        }
        return !targets.empty();
    };
    auto& selector = m_state.selector;
    auto const& settings = m_state.settings;
    if (settings.probed_candidates > 0 && selector.uses_search(request.pool)) {
        auto search = selector.begin_search(request.pool, now);
        auto const is_enough = [&](std::string const& id) {
            return selector.is_known_good(search, id, std::chrono::steady_clock::now());
        };
        for (auto round_start = now; !request.notifier.is_interrupted();
             round_start = std::chrono::steady_clock::now()) {
            auto const choices = selector.next_search_round(
                search, request.pool, attempts.excluded_targets,
                [this](std::string const& id) { return m_load_prober.can_probe(id); }, round_start,
                thread_random());
            if (!probe(choices, round_start + max_search_round_wait, is_enough)) {
                return;
            }
        }
        return;
    }
    static_cast<void>(
        probe(selector.probe_candidates(request.pool, attempts.excluded_targets, settings.probed_candidates,
                                        settings.fresh_report_max_age, now, thread_random()),
              now + max_probe_wait, {}));
}

bool request_dispatcher::start_attempt(request_state& request, std::shared_ptr<attempt_set> const& attempts,
                                       std::string_view purpose) {
    for (int round = 1;; ++round) {
        if (!wait_for_permit(request)) {
            return false;
        }
        request.notifier.set_handler([attempts] {
            attempts->cancel_unfinished();
            attempts->changed.notify_all();
        });
        probe_candidates(request, *attempts);
        m_admission.release_reservation(request.pool);
        auto const now = std::chrono::steady_clock::now();
        if (now >= request.deadline || request.notifier.is_interrupted()) {
            m_admission.grant_available_permits(request.pool);
            return false;
        }
        auto const choice =
            m_state.selector.choose(request.pool, attempts->excluded_targets, now, thread_random());
        if (!choice) {
            log_line(log_level::info, "no_target")
                .field("request", request.id)
                .field("pool", request.pool)
                .field("purpose", purpose)
                .field("usable", static_cast<std::uint64_t>(
                                     m_state.selector.usable_target_count(request.pool, {}, now)))
                .write();
            m_admission.grant_available_permits(request.pool);
            return false;
        }
        if (choice->is_preferred || round == max_choice_rounds) {
            if (attempts->states.empty()) {
                m_admission.record_admission(request.pool, request.groups(), now);
            }
            prepare_attempt(request, *attempts, *choice, purpose);
            m_thread.spawn(
                [this, attempts, state = attempts->states.back()] { run_attempt(attempts, state); });
            return true;
        }
        // The probes, or another request, took the slot that the permit was for.
        m_admission.grant_available_permits(request.pool);
    }
}

void request_dispatcher::prepare_attempt(request_state const& request, attempt_set& attempts,
                                         target_choice const& choice, std::string_view purpose) {
    auto const now = std::chrono::steady_clock::now();
    auto const remaining_ms = ms_between(now, request.deadline);
    auto state = std::make_shared<attempt_state>();
    state->target = choice.id;
    state->address = choice.address;
    state->incarnation = choice.incarnation;
    state->slowdown = m_state.selector.known_slowdown(choice);
    state->started = now;
    state->deadline = request.deadline + response_grace_period;
    state->request = std::make_shared<http_request>(request.request);
    erase_connection_fields(*state->request);
    state->request->keep_alive(true);
    state->request->prepare_payload();
    set_header_field(*state->request, m_state.wire_format.deadline_header,
                     std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    set_header_field(*state->request, m_state.wire_format.expected_target_header, choice.id);
    if (request.routes->tables().workspaces) {
        state->request->erase(m_state.wire_format.key_header);
        state->request->erase(m_state.wire_format.workspace_header);
        if (request.workspace != nullptr) {
            set_header_field(*state->request, m_state.wire_format.workspace_header, request.workspace->name);
        }
    }
    log_line(log_level::info, "target_chosen")
        .field("request", request.id)
        .field("route", request.route->name)
        .field("tables", request.routes->tables().version)
        .field("pool", request.pool)
        .field("target", choice.id)
        .field("purpose", purpose)
        .field("expected_ms", static_cast<std::int64_t>(choice.expected_ms))
        .field("slowdown_percent", static_cast<std::int64_t>(choice.slowdown * 100))
        .field("report_age_ms", choice.report_age_ms)
        .field("in_flight", static_cast<std::int64_t>(choice.own_in_flight))
        .field("others", static_cast<std::int64_t>(std::lround(choice.other_in_flight)))
        .field("failure_percent", static_cast<std::int64_t>(choice.failure_rate * 100))
        .field("candidates", static_cast<std::uint64_t>(choice.candidate_count))
        .field("left_ms", remaining_ms)
        .write();
    m_state.selector.attempt_started(choice.id, now);
    m_state.pending_load_changes.record_attempt_started(choice.id);
    m_state.counters.add(counter::target_exchanges);
    attempts.hedge_look_at = now;
    attempts.excluded_targets.push_back(choice.id);
    attempts.states.push_back(std::move(state));
}

void request_dispatcher::run_attempt(std::shared_ptr<attempt_set> const& attempts,
                                     std::shared_ptr<attempt_state> const& state) {
    state->report = m_target_client.exchange(state->target, state->address, state->request, state->deadline,
                                             state->handle);
    state->is_finished = true;
    record_attempt_result(*state, state->report);
    attempts->changed.notify_all();
}

void request_dispatcher::record_attempt_result(attempt_state const& state, exchange_report const& report) {
    auto const now = std::chrono::steady_clock::now();
    auto outcome = attempt_outcome::succeeded;
    if (state.handle.is_cancelled()) {
        outcome = attempt_outcome::cancelled;
    } else if (report.outcome == exchange_outcome::not_executed) {
        outcome = report.wrong_target ? attempt_outcome::failed : attempt_outcome::refused;
    } else if (report.outcome != exchange_outcome::response_received) {
        outcome = now >= state.deadline ? attempt_outcome::timed_out : attempt_outcome::failed;
        m_state.counters.add(report.outcome == exchange_outcome::not_sent ? counter::target_connect_failures
                                                                          : counter::target_exchanges_broken);
    } else if (report.response->result_int() >= 500) {
        outcome = attempt_outcome::failed;
    }
    m_state.selector.attempt_finished({.target = state.target,
                                       .incarnation = state.incarnation,
                                       .outcome = outcome,
                                       .latency = now - state.started,
                                       .slowdown = state.slowdown},
                                      now);
    m_state.counters.target_latency.observe(now - state.started);
    if (report.target_load_report) {
        m_state.selector.apply_load_report(state.target, *report.target_load_report, now);
    }
    m_state.pending_load_changes.record_exchange_finished(
        state.target, report.target_load_report,
        outcome == attempt_outcome::failed || outcome == attempt_outcome::timed_out, now);
    if (report.wrong_target) {
        m_state.selector.disable(state.target);
    }
    apply_target_notice(m_state, m_target_client, {state.target, state.incarnation}, report.notice, now);
    if (auto const* pool = m_state.selector.pool_of(state.target); pool != nullptr) {
        m_admission.grant_available_permits(*pool);
    }
    if (report.outcome != exchange_outcome::response_received) {
        log_line(log_level::info, "try_failed")
            .field("request", header_field(*state.request, m_state.wire_format.request_id_header))
            .field("target", state.target)
            .field("sent", state.handle.is_sent() ? "yes" : "no")
            .field("cancelled", state.handle.is_cancelled() ? "yes" : "no")
            .field("after_ms", ms_between(state.started, now))
            .field("reason", report.failure_reason)
            .write();
    }
}

http_response request_dispatcher::run_attempts(request_state& request) {
    auto const attempts = std::make_shared<attempt_set>();
    auto const& route = *request.route;
    m_admission.record_arrival(request.pool, request.groups(), request.received);
    auto& budget = m_state.extra_attempts.budget_for(request.pool);
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
            may_have_run = may_have_run || report.outcome == exchange_outcome::incomplete;
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
            if (has_time && within_limits && has_other_target && (!was_sent || budget.try_withdraw())) {
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
    erase_connection_fields(response);
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
        .field("ms", ms_between(request.received, now))
        .write();
    return response;
}

} // namespace pomelospread
