#include "base/log.hpp"
#include "base/random.hpp"
#include "coordination/hedge_inputs.hpp"
#include "gateway/request_dispatcher_state.hpp"
#include "gateway/target_notices.hpp"

#include <cmath>

// The attempts of a request: choosing a target, sending the request there, hedging, and what a result says of
// the target.
namespace pomelospread {

namespace {

using detail::erase_connection_fields;
using detail::ms_between;
using detail::response_grace_period;
using std::chrono::milliseconds;

/// Longest wait for load probes before a target is chosen: enough for a round trip between zones, a new
/// connection and the target's processing.
constexpr auto max_probe_wait = milliseconds(12);
/// Of one round of a search. A target that takes longer is silent, busy or far, and others are asked.
constexpr auto max_search_round_wait = milliseconds(8);
/// How often a request waits for a permit before it is sent to a target that turned out to be slow or full.
constexpr int max_choice_rounds = 8;

} // namespace

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
    if (m_state.hedges.balance(request.pool) < 1.0 || !m_state.extra_attempts.try_withdraw(request.pool)) {
        if (!std::exchange(attempts->is_hedge_over_limit, true)) {
            m_state.counters.add(counter::hedges_over_limit);
        }
        return next_look;
    }
    static_cast<void>(m_state.hedges.try_withdraw(request.pool));
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
        targets.reserve(choices.size());
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
    } else if (!report.response) {
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

} // namespace pomelospread
