#include "entry/fleet_state.hpp"

#include <algorithm>

namespace pomelospread {

bool permit_waiter::wait_until(std::chrono::steady_clock::time_point deadline) {
    std::unique_lock lock(m_mutex);
    return m_condition.wait_until(lock, deadline, [&] { return m_woken; });
}

void permit_waiter::wake() {
    std::unique_lock lock(m_mutex);
    m_woken = true;
    m_condition.notify_one();
}

bool pool_queue::enqueue(std::string const& customer, nanoseconds deadline,
                         std::shared_ptr<permit_waiter> waiter) {
    std::lock_guard const lock(m_mutex);
    bool const queued = m_queue.push(customer, deadline, std::move(waiter));
    m_size.store(m_queue.size(), std::memory_order_release);
    return queued;
}

bool pool_queue::remove(std::string const& customer, std::shared_ptr<permit_waiter> const& waiter) {
    std::lock_guard const lock(m_mutex);
    bool const removed = m_queue.remove(customer, waiter);
    m_size.store(m_queue.size(), std::memory_order_release);
    return removed;
}

void pool_queue::dequeue_and_wake() {
    if (size() == 0) {
        return;
    }
    std::shared_ptr<permit_waiter> waiter;
    {
        std::lock_guard const lock(m_mutex);
        waiter = m_queue.pop().value_or(nullptr);
        m_size.store(m_queue.size(), std::memory_order_release);
    }
    if (waiter != nullptr) {
        waiter->wake();
    }
}

pool_runtime const* fleet_state::find_pool(std::string_view name) const {
    auto const found = pools.find(name);
    return found == pools.end() ? nullptr : &found->second;
}

member_view const* fleet_state::find_member(instance_id id) const {
    auto const found =
        std::ranges::find_if(members, [&](auto const& member) { return member.entry.id == id; });
    return found == members.end() ? nullptr : &*found;
}

namespace {

std::shared_ptr<target_pool> next_target_pool(pool_row const& row, pool_runtime const* previous,
                                              std::string_view zone, target_pool_policy const& policy,
                                              nanoseconds now) {
    if (previous != nullptr && previous->targets->row() == row) {
        return previous->targets;
    }
    return std::make_shared<target_pool>(row, zone, policy, now,
                                         previous == nullptr ? nullptr : previous->targets.get());
}

void set_homes(pool_runtime& runtime, pool_row const& row, fleet_state const& state) {
    auto homes = ranked_home_instances(row.name, static_cast<std::size_t>(home_count(row)), state.members);
    auto const own_position = std::ranges::find(homes, state.self.id, &instance_entry::id);
    runtime.is_home = own_position != homes.end();
    target_pool::home_rank const rank{.rank = static_cast<std::uint32_t>(own_position - homes.begin()),
                                      .home_count =
                                          runtime.is_home ? static_cast<std::uint32_t>(homes.size()) : 1};
    runtime.targets->set_home_rank(runtime.is_home ? rank : target_pool::home_rank{});
    std::erase_if(homes, [&](auto const& home) { return home.id == state.self.id; });
    runtime.other_homes = std::move(homes);
    runtime.replica_peers = replica_candidates(state.self, row, state.members);
}

} // namespace

std::shared_ptr<fleet_state const> build_fleet_state(fleet_state const& previous,
                                                     std::shared_ptr<routing_tables const> tables,
                                                     std::vector<member_view> members, bool is_isolated,
                                                     target_pool_policy const& policy,
                                                     std::size_t queue_capacity, nanoseconds now) {
    auto next = std::make_shared<fleet_state>();
    next->current_tables = std::move(tables);
    next->members = std::move(members);
    next->self = previous.self;
    next->is_isolated = is_isolated;
    for (auto const& row : next->current_tables->pools) {
        auto const* previous_pool = previous.find_pool(row.name);
        pool_runtime runtime;
        runtime.targets = next_target_pool(row, previous_pool, next->self.zone, policy, now);
        runtime.queue =
            previous_pool != nullptr ? previous_pool->queue : std::make_shared<pool_queue>(queue_capacity);
        set_homes(runtime, row, *next);
        next->pools.emplace(row.name, std::move(runtime));
    }
    return next;
}

} // namespace pomelospread
