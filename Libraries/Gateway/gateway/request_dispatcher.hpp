// Decides on each request: its route, its pool, which target to try, when to try another, and the answer.
#pragma once

#include "gateway/caller_server.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/place_waits.hpp"
#include "gateway/status_checker.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <memory>
#include <string>

namespace pomelospread {

/// Runs on one thread. A request that is not idempotent has bytes sent to one target at most, unless that
/// target said that it did not run it.
class request_dispatcher {
public:
    request_dispatcher(io_thread& thread, forwarding_state& state, target_client& targets);

    [[nodiscard]] http_response handle(http_request& request, caller_watch& watch, steady_time received);
    /// Whether the request's route is idempotent.
    [[nodiscard]] bool may_overlap(http_request const& request) const;

private:
    struct context;
    struct race;
    struct try_state;

    [[nodiscard]] http_response serve(context& request);
    [[nodiscard]] http_response run_tries(context& request);
    /// Waits for a place at the pool. False when the request is to be refused, or its caller left.
    [[nodiscard]] bool wait_for_place(context const& request);
    /// Asks likely targets how they are before one of them is chosen.
    void look_at_targets(context const& request, race const& tries);
    [[nodiscard]] bool start_try(context& request, race& tries, std::string_view purpose);
    void run_try(std::shared_ptr<race> const& tries, std::shared_ptr<try_state> const& state);
    void learn(try_state const& state, exchange_report const& report);
    [[nodiscard]] std::string choose_pool(route_row const& route) const;
    [[nodiscard]] steady_time hedge_time(context const& request) const;
    [[nodiscard]] http_response refuse(context& request, std::string_view reason);
    [[nodiscard]] http_response fail(context& request, unsigned status, std::string_view reason);
    [[nodiscard]] http_response finish(context& request, http_response response, std::string_view outcome);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_targets;
    status_checker m_checker;
    place_waits m_places;
};

} // namespace pomelospread
