// Dispatches each request: selects its route, pool and target, sends retries and hedges, and returns the
// response.
#pragma once

#include "coordination/hedge_policy.hpp"
#include "gateway/admission_controller.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/load_prober.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <memory>
#include <optional>
#include <string>

namespace pomelospread {

/// Runs on one thread. Bytes of a request that is not idempotent are sent to one target at most, unless that
/// target reported that it did not run the request.
class request_dispatcher {
public:
    request_dispatcher(io_thread& thread, forwarding_state& state, target_client& targets);

    [[nodiscard]] http_response handle(http_request& request, interruption_notifier& notifier,
                                       steady_time received);
    /// Whether the request may run while others of its connection do: its route is idempotent, or it has
    /// none.
    [[nodiscard]] bool may_run_concurrently(http_request const& request) const;

private:
    struct request_state;
    struct attempt_set;
    struct attempt_state;

    [[nodiscard]] http_response route_request(request_state& request);
    /// Finds the workspace of the request's key and takes a token of its rate. Returns the response when the
    /// key is unknown or the workspace is over its rate.
    [[nodiscard]] std::optional<http_response> admit_workspace(request_state& request);
    [[nodiscard]] http_response run_attempts(request_state& request);
    /// Waits for a permit of the pool. Returns false when the request is refused or its caller disconnected.
    [[nodiscard]] bool wait_for_permit(request_state const& request);
    /// Sends load probes to the likely targets before one of them is chosen.
    void probe_candidates(request_state const& request, attempt_set const& attempts);
    /// Waits for a permit, chooses a target and starts an attempt there. Returns false when the request is
    /// refused, its time is over, its caller disconnected or no target can be chosen.
    [[nodiscard]] bool start_attempt(request_state& request, std::shared_ptr<attempt_set> const& attempts,
                                     std::string_view purpose);
    void prepare_attempt(request_state const& request, attempt_set& attempts, target_choice const& choice,
                         std::string_view purpose);
    void run_attempt(std::shared_ptr<attempt_set> const& attempts,
                     std::shared_ptr<attempt_state> const& state);
    void record_attempt_result(attempt_state const& state, exchange_report const& report);
    [[nodiscard]] std::string choose_pool(route_row const& route) const;
    /// Sends a hedge if that is decided now; does not suspend the fiber. Returns when to look again.
    [[nodiscard]] steady_time consider_hedge(request_state& request,
                                             std::shared_ptr<attempt_set> const& attempts, steady_time now);
    /// Starts load probes and has the request look again after them.
    void probe_for_hedge(request_state const& request, std::shared_ptr<attempt_set> const& attempts,
                         steady_time now);
    /// The instance is about to end: responds with what is known now.
    [[nodiscard]] http_response finish_interrupted(request_state& request, attempt_set& attempts,
                                                   bool may_have_run,
                                                   std::optional<http_response> error_response);
    [[nodiscard]] http_response finish_not_run(request_state& request, std::string_view reason);
    [[nodiscard]] http_response finish_over_rate(request_state& request,
                                                 std::chrono::nanoseconds retry_after);
    [[nodiscard]] http_response finish_failed(request_state& request, unsigned status,
                                              std::string_view reason);
    [[nodiscard]] http_response finish_request(request_state& request, http_response response,
                                               std::string_view outcome);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_target_client;
    load_prober m_load_prober;
    admission_controller m_admission;
    hedge_policy m_hedge_policy;
};

} // namespace pomelospread
