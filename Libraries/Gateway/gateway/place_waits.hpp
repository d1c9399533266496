// Requests wait here for a place at one of their pool's targets, or are refused early.
#pragma once

#include "coordination/admission_queue.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/forwarding_state.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace pomelospread {

/// Belongs to the instance's thread; `acquire` suspends the calling fiber.
class place_waits {
public:
    explicit place_waits(forwarding_state& state) : m_state(state) {}

    /// What a request that wants a place is.
    struct claim {
        std::string_view request_id;
        std::string const& pool;
        admission_claim limits;
    };

    /// Waits for a place. False when the request is to be refused, or its caller left. A place that was
    /// acquired must be passed to `started` once the request counts at a target or gives up.
    [[nodiscard]] bool acquire(claim const& wanted, caller_watch& watch);
    /// The place is counted at the target now, or is free again.
    void started(std::string const& pool) { --m_pools[pool].admitted; }
    /// Places may have come free; gives them to requests that wait.
    void wake(std::string const& pool);
    [[nodiscard]] bool has_waiting(std::string const& pool) const;

private:
    struct waiter;
    struct pool_places {
        admission_queue<std::shared_ptr<waiter>> queue;
        std::size_t admitted = 0; ///< Have a place and did not start yet.
    };

    forwarding_state& m_state;
    std::map<std::string, pool_places> m_pools;
};

} // namespace pomelospread
