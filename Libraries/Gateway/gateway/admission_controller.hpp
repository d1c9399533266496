// Admits requests: each waits for a permit to send to a target of its pool, or is refused early.
#pragma once

#include "coordination/admission_queue.hpp"
#include "coordination/retry_advice.hpp"
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

    /// A request that needs a permit.
    struct admission_request {
        std::string_view request_id;
        std::string const& pool;
        admission_deadlines deadlines;
    };

    /// Waits for a permit. Returns false when the request is refused or its caller disconnected. After true,
    /// call `release_reservation` once the request counts as in flight at a target or is abandoned.
    [[nodiscard]] bool acquire_permit(admission_request const& request, interruption_notifier& notifier);
    /// A request of these groups arrived, or was sent to a target for the first time; see `group_shares`.
    void record_arrival(std::string const& pool, request_groups const& groups, steady_time now) {
        m_pools[pool].queue.record_arrival(groups, now);
    }
    void record_admission(std::string const& pool, request_groups const& groups, steady_time now) {
        m_pools[pool].queue.record_admission(groups, now);
    }
    /// When a request that the pool refused should be sent again.
    [[nodiscard]] std::chrono::nanoseconds retry_delay(std::string const& pool, steady_time now);
    /// Ends the reservation of an acquired permit: the request is in flight at a target now, or was
    /// abandoned.
    void release_reservation(std::string const& pool) { --m_pools[pool].reserved_permits; }
    /// Grants permits to queued requests as far as the pool has available capacity.
    void grant_available_permits(std::string const& pool);
    [[nodiscard]] bool has_queued_requests(std::string const& pool) const;

private:
    struct waiter;
    /// Whether all targets of the pool want no request until it is too late for this one; logged if so.
    [[nodiscard]] bool is_paused_too_long(admission_request const& request, steady_time now) const;
    [[nodiscard]] capacity_release_rate release_rate(std::string const& pool) const;
    struct pool_admission {
        admission_queue<std::shared_ptr<waiter>> queue;
        retry_advice retries;
        std::size_t reserved_permits = 0; ///< Granted to requests that are not in flight at a target yet.
    };

    forwarding_state& m_state;
    std::map<std::string, pool_admission> m_pools;
};

} // namespace pomelospread
