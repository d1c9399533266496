// The snapshot that each request uses: the current tables, the runtime state of the pools and the members.
#pragma once

#include "coordination/customer_fair_queue.hpp"
#include "coordination/membership.hpp"
#include "coordination/placement.hpp"
#include "coordination/target_pool.hpp"
#include "state/rcu_snapshot.hpp"
#include "state/routing_tables.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pomelospread {

/// A request that waits for a permit; any thread may wake it.
class permit_waiter {
public:
    /// Suspends until woken or `deadline`; returns whether it was woken.
    bool wait_until(std::chrono::steady_clock::time_point deadline);
    void wake();

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_condition;
    bool m_woken = false;
};

/// The waiting requests of one pool. Thread-safe. Requests wait only while every target is full; at other
/// times the lock is not taken.
class pool_queue {
public:
    explicit pool_queue(std::size_t capacity) : m_queue(capacity) {}

    [[nodiscard]] bool enqueue(std::string const& customer, nanoseconds deadline,
                               std::shared_ptr<permit_waiter> waiter);
    bool remove(std::string const& customer, std::shared_ptr<permit_waiter> const& waiter);
    /// Wakes the request that is next, if any waits.
    void dequeue_and_wake();
    [[nodiscard]] std::size_t size() const noexcept { return m_size.load(std::memory_order_acquire); }

private:
    std::mutex m_mutex;
    customer_fair_queue<std::shared_ptr<permit_waiter>> m_queue;
    std::atomic<std::size_t> m_size{0};
};

/// The runtime state of one pool.
struct pool_runtime {
    std::shared_ptr<target_pool> targets;
    std::shared_ptr<pool_queue> queue;
    bool is_home = false;                      ///< Whether this instance is a home of the pool.
    std::vector<instance_entry> other_homes;   ///< Homes to exchange in-flight counts with.
    std::vector<instance_entry> replica_peers; ///< For claims and replicas of account records, best first.
};

/// An immutable snapshot, replaced by a new one when the tables or the members change.
struct fleet_state {
    std::shared_ptr<routing_tables const> current_tables = std::make_shared<routing_tables>();
    std::map<std::string, pool_runtime, std::less<>> pools;
    std::vector<member_view> members;
    instance_entry self;
    /// The platform is unreachable, and every other member seen before is gone; the snapshot may be outdated.
    bool is_isolated = false;

    [[nodiscard]] pool_runtime const* find_pool(std::string_view name) const;
    /// The member with this id, or nullptr when it is unknown or dead.
    [[nodiscard]] member_view const* find_member(instance_id id) const;
};

using fleet_snapshot = rcu_snapshot<fleet_state>;

/// Builds the next snapshot. A pool that is also in `previous` keeps its queue and the state of its targets;
/// if its row changed, the targets that remain keep theirs.
[[nodiscard]] std::shared_ptr<fleet_state const>
build_fleet_state(fleet_state const& previous, std::shared_ptr<routing_tables const> tables,
                  std::vector<member_view> members, bool is_isolated, target_pool_policy const& policy,
                  std::size_t queue_capacity, nanoseconds now);

/// Time since the steady clock's epoch, the form in which the coordination code takes the time.
[[nodiscard]] inline nanoseconds steady_now() {
    return std::chrono::steady_clock::now().time_since_epoch();
}

} // namespace pomelospread
