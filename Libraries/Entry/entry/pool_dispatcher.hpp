// Sends a request to targets of its pool: waiting, choosing, retrying and hedging within its deadline.
#pragma once

#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "entry/target_http_client.hpp"
#include "transport/io_thread.hpp"

namespace pomelospread {

/// One thread's dispatcher.
class pool_dispatcher {
public:
    pool_dispatcher(io_thread& thread, shared_state& shared);

    /// Dispatches a lookup: retries and hedges are allowed within their budgets.
    request_result dispatch_idempotent(request_context& context, http_request const& request);
    /// Dispatches a claimed request: only a try that provably did not start is followed by another.
    request_result dispatch_non_idempotent(request_context& context, http_request const& request);

private:
    struct hedge_state;

    /// A place at a target, waiting in the queue when every target is full.
    /// Throws `deadline_exceeded`, or `queue_full`.
    target_permit acquire_permit(request_context& context, std::optional<std::uint32_t> excluded);
    target_permit wait_for_permit(request_context& context);
    attempt_result run_attempt(request_context& context, target_permit const& ticket,
                               http_request const& request, bool idempotent,
                               target_http_client::cancel_handle& handle);
    attempt_result run_hedged_attempt(request_context& context, target_permit const& first,
                                      http_request const& request);
    void start_hedge(std::shared_ptr<hedge_state> const& state, request_context const& context,
                     target_permit const& first, http_request const& request);
    /// How many idle connections to one target this thread may keep.
    [[nodiscard]] std::size_t max_idle_connections(request_context const& context) const;
    void log_target_choice(request_context const& context, target_permit const& ticket,
                           std::string_view purpose) const;
    void release_permit(request_context const& context, target_permit const& ticket, exchange_result result);

    io_thread& m_thread;
    shared_state& m_shared;
    target_http_client m_target_client;
};

/// The pool's queue is full, so the request was not sent to any target.
class queue_full : public error {
public:
    using error::error;
};

} // namespace pomelospread
