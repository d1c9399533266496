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

/// A waiting request looks again after this long, because places also become free by news from other homes.
constexpr auto queue_recheck = std::chrono::milliseconds(10);

/// A target that said it leaves is asked again after this long, in case another took its address.
constexpr auto leaving_memory = std::chrono::seconds(30);

exchange_result classify(attempt_result const& outcome, bool cancelled) {
    if (cancelled) {
        return exchange_result::cancelled;
    }
    switch (outcome.failure) {
    case attempt_failure::none:
        return outcome.response->result_int() >= 500 ? exchange_result::failed : exchange_result::answered;
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

bool is_whole(attempt_result const& outcome) {
    return outcome.status == attempt_status::answered && outcome.response->result_int() < 500;
}

std::int64_t unix_ms_of(steady_time deadline) {
    auto const left = deadline - std::chrono::steady_clock::now();
    auto const at = std::chrono::system_clock::now() + left;
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

http_request prepare(request_context const& context, http_request const& request) {
    auto prepared = request;
    // Fields of one connection are not passed on (RFC 9110 section 7.6.1).
    for (auto const* name :
         {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Expect"}) {
        erase_header_field(prepared, name);
    }
    erase_header_field(prepared, header::relay);
    set_header_field(prepared, header::request_id, context.record.id);
    set_header_field(prepared, header::deadline_unix_ms, std::to_string(unix_ms_of(context.deadline)));
    prepared.keep_alive(true);
    prepared.prepare_payload();
    return prepared;
}

} // namespace

/// A second copy of a lookup and its state. Belongs to one thread.
struct pool_dispatcher::hedge_state {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable state_changed;
    target_http_client::cancel_handle first_cancel;
    target_http_client::cancel_handle hedge_cancel;
    bool first_ended = false;
    bool hedge_started = false;
    bool hedge_ended = false;
    attempt_result hedge_result;

    [[nodiscard]] bool is_hedge_successful() const { return hedge_ended && is_whole(hedge_result); }
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
        if (auto const ticket = pool.targets->try_acquire(steady_now(), thread_random(), excluded); ticket) {
            return *ticket;
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
        // A place may have become free between the last look and the push.
        if (auto const ticket = pool.targets->try_acquire(steady_now(), thread_random()); ticket) {
            if (!pool.queue->remove(context.record.customer, waiter)) {
                pool.queue->dequeue_and_wake();
            }
            return *ticket;
        }
        waiter->wait_until(std::min(context.deadline, std::chrono::steady_clock::now() + queue_recheck));
        pool.queue->remove(context.record.customer, waiter);
        if (auto const ticket = pool.targets->try_acquire(steady_now(), thread_random()); ticket) {
            return *ticket;
        }
    }
    m_shared.counters.add(counter::refused_deadline);
    throw deadline_exceeded("no target had a free place in time");
}

void pool_dispatcher::release_permit(request_context const& context, target_permit const& ticket,
                                     exchange_result result) {
    context.pool->targets->release(ticket, steady_now(), result);
    m_shared.in_flight_changes.fetch_add(1, std::memory_order_relaxed);
    context.pool->queue->dequeue_and_wake();
}

void pool_dispatcher::log_target_choice(request_context const& context, target_permit const& ticket,
                                        std::string_view purpose) const {
    auto const& row = context.pool->targets->row();
    log_line(log_level::info, "target_chosen")
        .field("request", context.record.id)
        .field("route", context.route->name)
        .field("pool", row.name)
        .field("target", to_string(row.targets[ticket.target].address))
        .field("reason", to_string(ticket.reason))
        .field("purpose", purpose)
        .field("in_flight", static_cast<std::uint64_t>(context.pool->targets->in_flight(ticket.target)))
        .field("tables_version", context.fleet->current_tables->version)
        .write();
}

std::size_t pool_dispatcher::max_idle_connections(request_context const& context) const {
    // The fleet's connections to a target are shared out evenly, and each thread keeps one at least.
    auto const agreed = static_cast<std::size_t>(context.pool->targets->row().connections_per_target);
    auto const sharers =
        std::max<std::size_t>(1, context.fleet->members.size()) * m_shared.settings.worker_threads;
    return std::clamp<std::size_t>(agreed / sharers, 1, m_shared.settings.max_idle_connections_per_target);
}

attempt_result pool_dispatcher::run_attempt(request_context& context, target_permit const& ticket,
                                            http_request const& request, bool idempotent,
                                            target_http_client::cancel_handle& handle) {
    m_shared.in_flight_changes.fetch_add(1, std::memory_order_relaxed);
    auto const& address = context.pool->targets->row().targets[ticket.target].address;
    auto outcome = m_target_client.send_once(address, request, idempotent, context.deadline,
                                             max_idle_connections(context), handle);
    release_permit(context, ticket, classify(outcome, handle.cancelled));
    if (outcome.status == attempt_status::answered) {
        m_shared.counters.target_latency.observe(steady_now() - ticket.started_at);
        if (header_field(*outcome.response, header::leaving) == "1") {
            context.pool->targets->set_leaving_until(ticket.target, steady_now() + leaving_memory);
        }
    }
    return outcome;
}

request_result pool_dispatcher::dispatch_non_idempotent(request_context& context,
                                                        http_request const& request) {
    auto const prepared = prepare(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.deposit();
    std::optional<std::uint32_t> excluded;
    for (;;) {
        target_permit ticket;
        try {
            ticket = acquire_permit(context, excluded);
        } catch (error const& failure) {
            return make_result_without_response(outcome_kind::not_run, failure.what());
        }
        log_target_choice(context, ticket, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[ticket.target].address);
        target_http_client::cancel_handle handle;
        auto outcome = run_attempt(context, ticket, prepared, false, handle);
        if (outcome.status == attempt_status::answered) {
            return {
                .outcome = outcome_kind::ran, .response = std::move(*outcome.response), .reason = "answered"};
        }
        if (outcome.status == attempt_status::indeterminate) {
            return make_result_without_response(outcome_kind::unknown, outcome.detail);
        }
        // A dead connection says nothing about the target; a new one to it costs no retry.
        bool const free_retry = outcome.failure == attempt_failure::stale_connection;
        if (std::chrono::steady_clock::now() >= context.deadline ||
            (!free_retry && !retry_budget.try_withdraw())) {
            return make_result_without_response(outcome_kind::not_run, outcome.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = free_retry ? excluded : std::optional(ticket.target);
    }
}

request_result pool_dispatcher::dispatch_idempotent(request_context& context, http_request const& request) {
    auto const prepared = prepare(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.deposit();
    std::optional<std::uint32_t> excluded;
    bool may_have_run = false;
    for (;;) {
        target_permit ticket;
        try {
            ticket = acquire_permit(context, excluded);
        } catch (error const& failure) {
            return make_result_without_response(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                                failure.what());
        }
        log_target_choice(context, ticket, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[ticket.target].address);
        auto outcome = run_hedged_attempt(context, ticket, prepared);
        bool const answered = outcome.status == attempt_status::answered;
        if (answered && (outcome.response->result_int() < 500 || !retry_budget.try_withdraw())) {
            return {
                .outcome = outcome_kind::ran, .response = std::move(*outcome.response), .reason = "answered"};
        }
        may_have_run = may_have_run || outcome.status != attempt_status::not_started;
        bool const in_time = std::chrono::steady_clock::now() < context.deadline;
        bool const free_retry = outcome.failure == attempt_failure::stale_connection;
        if (!in_time || (!answered && !free_retry && !retry_budget.try_withdraw())) {
            return make_result_without_response(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                                outcome.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = free_retry ? excluded : std::optional(ticket.target);
    }
}

void pool_dispatcher::start_hedge(std::shared_ptr<hedge_state> const& state, request_context const& context,
                                  target_permit const& first, http_request const& request) {
    auto& pool = *context.pool->targets;
    if (context.pool->queue->size() > 0 || !pool.hedge_budget().try_withdraw()) {
        return;
    }
    auto const ticket = pool.try_acquire(steady_now(), thread_random(), first.target);
    if (!ticket) {
        return;
    }
    m_shared.counters.add(counter::hedges);
    log_target_choice(context, *ticket, "hedge");
    state->hedge_started = true;
    // The request may be answered while its second copy still ends, so that copy owns what it uses.
    auto own = std::make_shared<request_context>(context);
    auto sent = std::make_shared<http_request>(request);
    m_thread.spawn([this, state, own, sent, ticket] {
        state->hedge_result = run_attempt(*own, *ticket, *sent, true, state->hedge_cancel);
        state->hedge_ended = true;
        if (state->is_hedge_successful() && !state->first_ended) {
            state->first_cancel.cancel();
        }
        state->state_changed.notify_all();
    });
}

attempt_result pool_dispatcher::run_hedged_attempt(request_context& context, target_permit const& first,
                                                   http_request const& request) {
    auto& pool = *context.pool->targets;
    pool.hedge_budget().deposit();
    auto const delay = pool.hedge_delay();
    auto const state = std::make_shared<hedge_state>();
    boost::asio::steady_timer timer(m_thread.io());
    if (context.route->hedge && delay > nanoseconds::zero() && pool.size() > 1) {
        timer.expires_after(delay);
        // A handler that was queued before the cancellation still runs; `first_ended` tells it so.
        timer.async_wait([this, state, &context, &first, &request](boost::system::error_code error) {
            if (!error && !state->first_ended) {
                start_hedge(state, context, first, request);
            }
        });
    }
    auto outcome = run_attempt(context, first, request, true, state->first_cancel);
    state->first_ended = true;
    timer.cancel();
    if (!state->hedge_started) {
        return outcome;
    }
    if (is_whole(outcome)) {
        state->hedge_cancel.cancel();
        return outcome;
    }
    std::unique_lock lock(state->mutex);
    state->state_changed.wait(lock, [&] { return state->hedge_ended; });
    if (!state->is_hedge_successful()) {
        return outcome;
    }
    m_shared.counters.add(counter::hedge_wins);
    return std::move(state->hedge_result);
}

} // namespace pomelospread
