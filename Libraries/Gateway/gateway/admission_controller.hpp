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

/// Belongs to the instance's thread; `acquire_permit` suspends the calling fiber.
class admission_controller {
public:
    explicit admission_controller(forwarding_state& state) : m_state(state) {}

    /// What a request that wants a place is.
    struct admission_request {
        std::string_view request_id;
        std::string const& pool;
        admission_deadlines deadlines;
    };

    /// Waits for a place. False when the request is to be refused, or its caller left. A place that was
    /// acquired must be passed to `release_reservation` once the request counts at a target or gives up.
    [[nodiscard]] bool acquire_permit(admission_request const& wanted, disconnect_notifier& watch);
    /// The place is counted at the target now, or is free again.
    void release_reservation(std::string const& pool) { --m_pools[pool].reserved_permits; }
    /// Places may have come free; gives them to requests that wait.
    void grant_available_permits(std::string const& pool);
    [[nodiscard]] bool has_queued_requests(std::string const& pool) const;

private:
    struct waiter;
    struct pool_admission {
        admission_queue<std::shared_ptr<waiter>> queue;
        std::size_t reserved_permits = 0; ///< Have a place and did not start yet.
    };

    forwarding_state& m_state;
    std::map<std::string, pool_admission> m_pools;
};

} // namespace pomelospread
