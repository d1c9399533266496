// The state that the threads of one entry instance share.
#pragma once

#include "base/metrics.hpp"
#include "coordination/claim_window.hpp"
#include "entry/account_recorder.hpp"
#include "entry/fleet_state.hpp"
#include "entry/settings.hpp"

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace pomelospread {

/// The claim window with a lock, which must never be held while a fiber is suspended.
class synchronized_claim_window {
public:
    synchronized_claim_window(instance_id self, claim_window_limits limits) : m_window(self, limits) {}

    /// Calls `use` with the window under the lock; `use` must not suspend its fiber.
    template<class Use>
    auto with_lock(Use use) {
        std::lock_guard const lock(m_mutex);
        return use(m_window);
    }

private:
    std::mutex m_mutex;
    claim_window m_window;
};

/// Limits how many requests a customer has in progress on a route. Thread-safe.
class customer_concurrency_limiter {
public:
    /// Counts one more request under `key`; false when `limit` are in progress already.
    [[nodiscard]] bool try_acquire(std::string const& key, std::int64_t limit);
    void release(std::string const& key);

private:
    std::mutex m_mutex;
    std::unordered_map<std::string, std::int64_t> m_in_progress;
};

/// Owned by the instance; every member is thread-safe.
struct shared_state {
    shared_state(instance_settings checked_settings, instance_entry own_entry)
        : settings(std::move(checked_settings)), self(std::move(own_entry)), fleet(initial_state(self)),
          claims(self.id, settings.claims), account(self.id, settings.journal_capacity, counters) {}

    instance_settings const settings;
    instance_entry const self;
    metrics counters;
    fleet_snapshot fleet;
    synchronized_claim_window claims;
    account_recorder account;
    customer_concurrency_limiter customer_limiter;
    std::atomic<std::uint64_t> next_request_number{1};
    std::atomic<std::uint64_t> requests_in_progress{0};
    /// Reports to the control thread that a member did not reply; set before the first request.
    std::function<void(instance_id)> report_unreachable = [](instance_id) {};
    std::atomic<std::uint64_t> in_flight_changes{0}; ///< Number of attempts started and ended so far.

private:
    static std::shared_ptr<fleet_state const> initial_state(instance_entry const& self) {
        auto state = std::make_shared<fleet_state>();
        state->self = self;
        return state;
    }
};

} // namespace pomelospread
