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

exchange_result classify(try_outcome const& outcome, bool cancelled) {
    if (cancelled) {
        return exchange_result::cancelled;
    }
    switch (outcome.failure) {
    case try_failure::none:
        return outcome.response->result_int() >= 500 ? exchange_result::failed : exchange_result::answered;
    case try_failure::dead_connection:
    case try_failure::shed:
    case try_failure::cancelled:
        return exchange_result::shed;
    case try_failure::no_connection:
    case try_failure::no_whole_answer:
        return exchange_result::failed;
    }
    return exchange_result::failed;
}

bool is_whole(try_outcome const& outcome) {
    return outcome.result == try_result::answered && outcome.response->result_int() < 500;
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
        erase_field(prepared, name);
    }
    erase_field(prepared, header::relay);
    set_field(prepared, header::request_id, context.record.id);
    set_field(prepared, header::deadline_unix_ms, std::to_string(unix_ms_of(context.deadline)));
    prepared.keep_alive(true);
    prepared.prepare_payload();
    return prepared;
}

} // namespace

/// A second copy of a lookup and its state. Belongs to one thread.
struct pool_dispatcher::hedge_state {
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;
    target_exchange::cancel_handle first;
    target_exchange::cancel_handle second;
    bool first_ended = false;
    bool second_started = false;
    bool second_ended = false;
    try_outcome second_outcome;

    [[nodiscard]] bool second_is_whole() const { return second_ended && is_whole(second_outcome); }
};

pool_dispatcher::pool_dispatcher(io_thread& thread, shared_parts& shared)
    : m_thread(thread), m_shared(shared),
      m_exchange(thread.io(), shared.settings.connections_per_target,
                 exchange_limits{.max_body_bytes = shared.settings.http.max_body_bytes}, shared.counters) {}

target_ticket pool_dispatcher::acquire(request_context& context, std::optional<std::uint32_t> excluded) {
    auto& pool = *context.pool;
    if (pool.queue->size() == 0) {
        if (auto const ticket = pool.targets->try_start(steady_now(), thread_random(), excluded); ticket) {
            return *ticket;
        }
    }
    if (excluded && pool.targets->size() == 1) {
        throw queue_full("the pool has no other target");
    }
    return wait_for_place(context);
}

target_ticket pool_dispatcher::wait_for_place(request_context& context) {
    auto& pool = *context.pool;
    m_shared.counters.add(counter::queue_waits);
    while (std::chrono::steady_clock::now() < context.deadline) {
        auto const waiter = std::make_shared<place_waiter>();
        if (!pool.queue->push(context.record.customer, context.deadline.time_since_epoch(), waiter)) {
            m_shared.counters.add(counter::refused_queue_full);
            throw queue_full("every target is full and so is the queue");
        }
        // A place may have become free between the last look and the push.
        if (auto const ticket = pool.targets->try_start(steady_now(), thread_random()); ticket) {
            if (!pool.queue->remove(context.record.customer, waiter)) {
                pool.queue->wake_next();
            }
            return *ticket;
        }
        waiter->wait_until(std::min(context.deadline, std::chrono::steady_clock::now() + queue_recheck));
        pool.queue->remove(context.record.customer, waiter);
        if (auto const ticket = pool.targets->try_start(steady_now(), thread_random()); ticket) {
            return *ticket;
        }
    }
    m_shared.counters.add(counter::refused_deadline);
    throw deadline_exceeded("no target had a free place in time");
}

void pool_dispatcher::release(request_context const& context, target_ticket const& ticket,
                              exchange_result result) {
    context.pool->targets->finish(ticket, steady_now(), result);
    m_shared.load_changes.fetch_add(1, std::memory_order_relaxed);
    context.pool->queue->wake_next();
}

void pool_dispatcher::log_choice(request_context const& context, target_ticket const& ticket,
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
        .field("tables_version", context.fleet->content->version)
        .write();
}

std::size_t pool_dispatcher::idle_connections(request_context const& context) const {
    // The fleet's connections to a target are shared out evenly, and each thread keeps one at least.
    auto const agreed = static_cast<std::size_t>(context.pool->targets->row().connections_per_target);
    auto const sharers = std::max<std::size_t>(1, context.fleet->members.size()) * m_shared.settings.threads;
    return std::clamp<std::size_t>(agreed / sharers, 1, m_shared.settings.connections_per_target);
}

try_outcome pool_dispatcher::run_try(request_context& context, target_ticket const& ticket,
                                     http_request const& request, bool idempotent,
                                     target_exchange::cancel_handle& handle) {
    m_shared.load_changes.fetch_add(1, std::memory_order_relaxed);
    auto const& address = context.pool->targets->row().targets[ticket.target].address;
    auto outcome = m_exchange.try_once(address, request, idempotent, context.deadline,
                                       idle_connections(context), handle);
    release(context, ticket, classify(outcome, handle.cancelled));
    if (outcome.result == try_result::answered) {
        m_shared.counters.target_latency.observe(steady_now() - ticket.started);
        if (field_of(*outcome.response, header::leaving) == "1") {
            context.pool->targets->set_leaving(ticket.target, steady_now() + leaving_memory);
        }
    }
    return outcome;
}

request_result pool_dispatcher::dispatch_once(request_context& context, http_request const& request) {
    auto const prepared = prepare(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.earn();
    std::optional<std::uint32_t> excluded;
    for (;;) {
        target_ticket ticket;
        try {
            ticket = acquire(context, excluded);
        } catch (error const& failure) {
            return failed_result(outcome_kind::not_run, failure.what());
        }
        log_choice(context, ticket, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[ticket.target].address);
        target_exchange::cancel_handle handle;
        auto outcome = run_try(context, ticket, prepared, false, handle);
        if (outcome.result == try_result::answered) {
            return {
                .kind = outcome_kind::ran, .response = std::move(*outcome.response), .reason = "answered"};
        }
        if (outcome.result == try_result::broken) {
            return failed_result(outcome_kind::unknown, outcome.detail);
        }
        // A dead connection says nothing about the target; a new one to it costs no retry.
        bool const free_retry = outcome.failure == try_failure::dead_connection;
        if (std::chrono::steady_clock::now() >= context.deadline ||
            (!free_retry && !retry_budget.try_spend())) {
            return failed_result(outcome_kind::not_run, outcome.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = free_retry ? excluded : std::optional(ticket.target);
    }
}

request_result pool_dispatcher::dispatch_idempotent(request_context& context, http_request const& request) {
    auto const prepared = prepare(context, request);
    auto& retry_budget = context.pool->targets->retry_budget();
    retry_budget.earn();
    std::optional<std::uint32_t> excluded;
    bool may_have_run = false;
    for (;;) {
        target_ticket ticket;
        try {
            ticket = acquire(context, excluded);
        } catch (error const& failure) {
            return failed_result(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                 failure.what());
        }
        log_choice(context, ticket, excluded ? "retry" : "first");
        context.record.target = to_string(context.pool->targets->row().targets[ticket.target].address);
        auto outcome = run_hedged(context, ticket, prepared);
        bool const answered = outcome.result == try_result::answered;
        if (answered && (outcome.response->result_int() < 500 || !retry_budget.try_spend())) {
            return {
                .kind = outcome_kind::ran, .response = std::move(*outcome.response), .reason = "answered"};
        }
        may_have_run = may_have_run || outcome.result != try_result::not_started;
        bool const in_time = std::chrono::steady_clock::now() < context.deadline;
        bool const free_retry = outcome.failure == try_failure::dead_connection;
        if (!in_time || (!answered && !free_retry && !retry_budget.try_spend())) {
            return failed_result(may_have_run ? outcome_kind::unknown : outcome_kind::not_run,
                                 outcome.detail);
        }
        m_shared.counters.add(counter::retries);
        excluded = free_retry ? excluded : std::optional(ticket.target);
    }
}

void pool_dispatcher::start_hedge(std::shared_ptr<hedge_state> const& state, request_context const& context,
                                  target_ticket const& first, http_request const& request) {
    auto& pool = *context.pool->targets;
    if (context.pool->queue->size() > 0 || !pool.hedge_budget().try_spend()) {
        return;
    }
    auto const ticket = pool.try_start(steady_now(), thread_random(), first.target);
    if (!ticket) {
        return;
    }
    m_shared.counters.add(counter::hedges);
    log_choice(context, *ticket, "hedge");
    state->second_started = true;
    // The request may be answered while its second copy still ends, so that copy owns what it uses.
    auto own = std::make_shared<request_context>(context);
    auto sent = std::make_shared<http_request>(request);
    m_thread.spawn([this, state, own, sent, ticket] {
        state->second_outcome = run_try(*own, *ticket, *sent, true, state->second);
        state->second_ended = true;
        if (state->second_is_whole() && !state->first_ended) {
            state->first.cancel();
        }
        state->changed.notify_all();
    });
}

try_outcome pool_dispatcher::run_hedged(request_context& context, target_ticket const& first,
                                        http_request const& request) {
    auto& pool = *context.pool->targets;
    pool.hedge_budget().earn();
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
    auto outcome = run_try(context, first, request, true, state->first);
    state->first_ended = true;
    timer.cancel();
    if (!state->second_started) {
        return outcome;
    }
    if (is_whole(outcome)) {
        state->second.cancel();
        return outcome;
    }
    std::unique_lock lock(state->mutex);
    state->changed.wait(lock, [&] { return state->second_ended; });
    if (!state->second_is_whole()) {
        return outcome;
    }
    m_shared.counters.add(counter::hedge_wins);
    return std::move(state->second_outcome);
}

} // namespace pomelospread
