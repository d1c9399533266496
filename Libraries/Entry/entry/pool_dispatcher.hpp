// Sends a request to the targets of its pool: waits for a permit, retries and hedges until its deadline.
#pragma once

#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "entry/target_http_client.hpp"
#include "transport/io_thread.hpp"

namespace pomelospread {

/// Belongs to one thread.
class pool_dispatcher {
public:
    pool_dispatcher(io_thread& thread, shared_state& shared);

    /// Dispatches a request that may run more than once: retries and hedges are limited by their budgets.
    request_result dispatch_idempotent(request_context& context, http_request const& request);
    /// Dispatches a claimed request, which must not run twice: only an attempt that certainly did not start
    /// is retried.
    request_result dispatch_non_idempotent(request_context& context, http_request const& request);

private:
    struct hedge_state;

    /// Acquires a permit; waits in the pool's queue while every target is full. `excluded` is the target of
    /// the previous attempt; it is skipped unless the request has to wait. Throws `deadline_exceeded` or
    /// `queue_full`.
    target_permit acquire_permit(request_context& context, std::optional<std::uint32_t> excluded);
    target_permit wait_for_permit(request_context& context);
    attempt_result run_attempt(request_context& context, target_permit const& permit,
                               http_request const& request, bool idempotent,
                               target_http_client::cancel_handle& handle);
    attempt_result run_hedged_attempt(request_context& context, target_permit const& first_permit,
                                      http_request const& request);
    void start_hedge(std::shared_ptr<hedge_state> const& state, request_context const& context,
                     target_permit const& first_permit, http_request const& request);
    /// How many idle connections to one target this thread may keep open.
    [[nodiscard]] std::size_t max_idle_connections(request_context const& context) const;
    void log_target_choice(request_context const& context, target_permit const& permit,
                           std::string_view purpose) const;
    void release_permit(request_context const& context, target_permit const& permit, exchange_result result);

    io_thread& m_thread;
    shared_state& m_shared;
    target_http_client m_target_client;
};

/// No permit was acquired and the request cannot wait for one: the pool's queue is full, or a retry found no
/// target other than the one that failed.
class queue_full : public error {
public:
    using error::error;
};

} // namespace pomelospread
