#include "entry/pool_dispatcher.hpp"

#include "base/log.hpp"
#include "base/random.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace pomelospread {

namespace {

/// A queued request tries again to acquire a permit after this long, since load updates may also show
/// available capacity.
constexpr auto queue_recheck_interval = std::chrono::milliseconds(10);

/// A target that announced that it is leaving gets requests again after this long, in case another target now
/// has its address.
constexpr auto announced_leaving_duration = std::chrono::seconds(30);

exchange_result classify(attempt_result const& attempt, bool cancelled) {
    if (cancelled) {
        return exchange_result::cancelled;
    }
    switch (attempt.failure) {
    case attempt_failure::none:
        return attempt.response->result_int() >= 500 ? exchange_result::failed : exchange_result::succeeded;
    case attempt_failure::stale_connection:
    case attempt_failure::shed:
    case attempt_failure::cancelled:
        return exchange_result::refused;
    case attempt_failure::connect_failed:
    case attempt_failure::invalid_response:
        return exchange_result::failed;
    }
    return exchange_result::failed;
}

bool is_successful(attempt_result const& attempt) {
    return attempt.status == attempt_status::response_received && attempt.response->result_int() < 500;
}

std::int64_t to_unix_ms(steady_time deadline) {
    auto const remaining = deadline - std::chrono::steady_clock::now();
    auto const wall_time = std::chrono::system_clock::now() + remaining;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall_time.time_since_epoch()).count();
}

http_request make_target_request(request_context const& context, http_request const& request) {
    auto target_request = request;
    // Hop-by-hop header fields are not forwarded (RFC 9110 section 7.6.1).
    for (auto const* name :
         {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Expect"}) {
        erase_header_field(target_request, name);
    }
    erase_header_field(target_request, header::relay);
    set_header_field(target_request, header::request_id, context.record.id);
    set_header_field(target_request, header::deadline_unix_ms, std::to_string(to_unix_ms(context.deadline)));
    target_request.keep_alive(true);
    target_request.prepare_payload();
    return target_request;
}

} // namespace

/// State shared by the first attempt of an idempotent request and its hedge. Belongs to one thread.
struct pool_dispatcher::hedge_state {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable state_changed;
    target_http_client::cancel_handle first_cancel;
    target_http_client::cancel_handle hedge_cancel;
    bool first_ended = false;
    bool hedge_started = false;
    bool hedge_ended = false;
    attempt_result hedge_result;

    [[nodiscard]] bool is_hedge_successful() const { return hedge_ended && is_successful(hedge_result); }
};

pool_dispatcher::pool_dispatcher(io_thread& thread, shared_state& shared)
    : m_thread(thread), m_shared(shared),
      m_target_client(thread.io(), shared.settings.max_idle_connections_per_target,
                      target_http_limits{.max_body_bytes = shared.settings.http.max_body_bytes},
                      shared.counters) {}

target_permit pool_dispatcher::acquire_permit(request_context& context,
                                              std::optional<std::uint32_t> excluded) {
    auto& pool = *context.pool;
    if (pool.queue->size() == 0) {
        if (auto const permit = pool.targets->try_acquire(steady_now(), thread_random(), excluded); permit) {
            return *permit;
        }
    }
    if (excluded && pool.targets->size() == 1) {
        throw queue_full("the pool has no other target");
    }
    return wait_for_permit(context);
}

target_permit pool_dispatcher::wait_for_permit(request_context& context) {
    auto& pool = *context.pool;
    m_shared.counters.add(counter::queue_waits);
    while (std::chrono::steady_clock::now() < context.deadline) {
        auto const waiter = std::make_shared<permit_waiter>();
        if (!pool.queue->enqueue(context.record.customer, context.deadline.time_since_epoch(), waiter)) {
            m_shared.counters.add(counter::refused_queue_full);
            throw queue_full("every target is full and so is the queue");
        }
        // A permit may have become free between the last call of `try_acquire` and the call of `enqueue`.
        if (auto const permit = pool.targets->try_acquire(steady_now(), thread_random()); permit) {
            if (!pool.queue->remove(context.record.customer, waiter)) {
                pool.queue->dequeue_and_wake();
            }
            return *permit;
        }
        waiter->wait_until(
            std::min(context.deadline, std::chrono::steady_clock::now() + queue_recheck_interval));
        pool.queue->remove(context.record.customer, waiter);
        if (auto const permit = pool.targets->try_acquire(steady_now(), thread_random()); permit) {
            return *permit;
        }
    }
    m_shared.counters.add(counter::refused_deadline);
    throw deadline_exceeded("no target had a free place in time");
}

void pool_dispatcher::release_permit(request_context const& context, target_permit const& permit,
                                     exchange_result result) {
    context.pool->targets->release(permit, steady_now(), result);
    m_shared.in_flight_changes.fetch_add(1, std::memory_order_relaxed);
    context.pool->queue->dequeue_and_wake();
}

void pool_dispatcher::log_target_choice(request_context const& context, target_permit const& permit,
                                        std::string_view purpose) const {
    auto const& row = context.pool->targets->row();
    log_line(log_level::info, "target_chosen")
        .field("request", context.record.id)
        .field("route", context.route->name)
        .field("pool", row.name)
        .field("target", to_string(row.targets[permit.target].address))
        .field("reason", to_string(permit.reason))
        .field("purpose", purpose)
        .field("in_flight", static_cast<std::uint64_t>(context.pool->targets->in_flight(permit.target)))
        .field("tables_version", context.fleet->current_tables->version)
        .write();
}

std::size_t pool_dispatcher::max_idle_connections(request_context const& context) const {
    // The pool's limit of connections to a target is divided evenly among the threads of all instances; each
    // thread may keep at least one.
    auto const connection_limit =
        static_cast<std::size_t>(context.pool->targets->row().connections_per_target);
    auto const fleet_threads =
        std::max<std::size_t>(1, context.fleet->members.size()) * m_shared.settings.worker_threads;
    return std::clamp<std::size_t>(connection_limit / fleet_threads, 1,
                                   m_shared.settings.max_idle_connections_per_target);
}

attempt_result pool_dispatcher::run_attempt(request_context& context, target_permit const& permit,
                                            http_request const& request, bool idempotent,
                                            target_http_client::cancel_handle& handle) {
    m_shared.in_flight_changes.fetch_add(1, std::memory_order_relaxed);
    auto const& address = context.pool->targets->row().targets[permit.target].address;
    auto attempt = m_target_client.send_once(address, request, idempotent, context.deadline,
                                             max_idle_connections(context), handle);
    release_permit(context, permit, classify(attempt, handle.cancelled));
    if (attempt.status == attempt_status::response_received) {
        m_shared.counters.target_latency.observe(steady_now() - permit.started_at);
        if (header_field(*attempt.response, header::leaving) == "1") {
            context.pool->targets->set_leaving_until(permit.target,
                                                     steady_now() + announced_leaving_duration);
        }
    }
    return attempt;
}

request_result pool_dispatcher::dispatch_non_idempotent(request_context& context,
                                                        http_request const& request) {
    auto const target_request = make_target_request(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.deposit();
    std::optional<std::uint32_t> excluded;
    for (;;) {
        target_permit permit;
        try {
            permit = acquire_permit(context, excluded);
        } catch (error const& failure) {
            return make_result_without_response(outcome_kind::not_run, failure.what());
        }
        log_target_choice(context, permit, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[permit.target].address);
        target_http_client::cancel_handle handle;
        auto attempt = run_attempt(context, permit, target_request, false, handle);
        if (attempt.status == attempt_status::response_received) {
            return {
                .outcome = outcome_kind::ran, .response = std::move(*attempt.response), .reason = "answered"};
        }
        if (attempt.status == attempt_status::indeterminate) {
            return make_result_without_response(outcome_kind::unknown, attempt.detail);
        }
        // A stale connection is no sign of a failed target, so another attempt at the same target is allowed
        // and is not charged to the retry budget.
        bool const is_exempt_from_retry_budget = attempt.failure == attempt_failure::stale_connection;
        if (std::chrono::steady_clock::now() >= context.deadline ||
            (!is_exempt_from_retry_budget && !retry_budget.try_withdraw())) {
            return make_result_without_response(outcome_kind::not_run, attempt.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = is_exempt_from_retry_budget ? excluded : std::optional(permit.target);
    }
}

request_result pool_dispatcher::dispatch_idempotent(request_context& context, http_request const& request) {
    auto const target_request = make_target_request(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.deposit();
    std::optional<std::uint32_t> excluded;
    bool may_have_run = false;
    for (;;) {
        target_permit permit;
        try {
            permit = acquire_permit(context, excluded);
        } catch (error const& failure) {
            return make_result_without_response(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                                failure.what());
        }
        log_target_choice(context, permit, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[permit.target].address);
        auto attempt = run_hedged_attempt(context, permit, target_request);
        bool const answered = attempt.status == attempt_status::response_received;
        if (answered && (attempt.response->result_int() < 500 || !retry_budget.try_withdraw())) {
            return {
                .outcome = outcome_kind::ran, .response = std::move(*attempt.response), .reason = "answered"};
        }
        may_have_run = may_have_run || attempt.status != attempt_status::not_started;
        // As for non-idempotent requests, a retry after a stale connection is not charged to the retry
        // budget.
        bool const before_deadline = std::chrono::steady_clock::now() < context.deadline;
        bool const is_exempt_from_retry_budget = attempt.failure == attempt_failure::stale_connection;
        if (!before_deadline || (!answered && !is_exempt_from_retry_budget && !retry_budget.try_withdraw())) {
            return make_result_without_response(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                                attempt.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = is_exempt_from_retry_budget ? excluded : std::optional(permit.target);
    }
}

void pool_dispatcher::start_hedge(std::shared_ptr<hedge_state> const& state, request_context const& context,
                                  target_permit const& first_permit, http_request const& request) {
    auto& pool = *context.pool->targets;
    if (context.pool->queue->size() > 0 || !pool.hedge_budget().try_withdraw()) {
        return;
    }
    auto const permit = pool.try_acquire(steady_now(), thread_random(), first_permit.target);
    if (!permit) {
        return;
    }
    m_shared.counters.add(counter::hedges);
    log_target_choice(context, *permit, "hedge");
    state->hedge_started = true;
    // The caller may get its response while the hedge is still running, so the hedge owns all that it uses.
    auto hedge_context = std::make_shared<request_context>(context);
    auto hedge_request = std::make_shared<http_request>(request);
    m_thread.spawn([this, state, hedge_context, hedge_request, permit] {
        state->hedge_result = run_attempt(*hedge_context, *permit, *hedge_request, true, state->hedge_cancel);
        state->hedge_ended = true;
        if (state->is_hedge_successful() && !state->first_ended) {
            state->first_cancel.cancel();
        }
        state->state_changed.notify_all();
    });
}

attempt_result pool_dispatcher::run_hedged_attempt(request_context& context,
                                                   target_permit const& first_permit,
                                                   http_request const& request) {
    auto& pool = *context.pool->targets;
    pool.hedge_budget().deposit();
    auto const delay = pool.hedge_delay();
    auto const state = std::make_shared<hedge_state>();
    boost::asio::steady_timer timer(m_thread.io());
    if (context.route->hedge && delay > nanoseconds::zero() && pool.size() > 1) {
        timer.expires_after(delay);
        // A handler that was already queued runs despite `timer.cancel()`; `first_ended` then keeps it from
        // using the references.
        timer.async_wait([this, state, &context, &first_permit, &request](boost::system::error_code error) {
            if (!error && !state->first_ended) {
                start_hedge(state, context, first_permit, request);
            }
        });
    }
    auto attempt = run_attempt(context, first_permit, request, true, state->first_cancel);
    state->first_ended = true;
    timer.cancel();
    if (!state->hedge_started) {
        return attempt;
    }
    if (is_successful(attempt)) {
        state->hedge_cancel.cancel();
        return attempt;
    }
    std::unique_lock lock(state->mutex);
    state->state_changed.wait(lock, [&] { return state->hedge_ended; });
    if (!state->is_hedge_successful()) {
        return attempt;
    }
    m_shared.counters.add(counter::hedge_wins);
    return std::move(state->hedge_result);
}

} // namespace pomelospread
