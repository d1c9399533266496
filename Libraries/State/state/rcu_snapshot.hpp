// A value that is read without locks and replaced as a unit: read-copy-update (RCU) through liburcu.
#pragma once

#include <urcu/urcu-memb.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace pomelospread {

/// Holds an immutable value. A reader copies the shared pointer in a short RCU read-side critical section, in
/// which its fiber never suspends. A writer swaps the holder and waits for a grace period before it frees the
/// old one. Every reading thread must be registered with `urcu_memb_register_thread`.
template<class Value>
class rcu_snapshot {
public:
    explicit rcu_snapshot(std::shared_ptr<Value const> value) : m_holder(new holder(std::move(value))) {}

    ~rcu_snapshot() { delete m_holder.load(); }

    rcu_snapshot(rcu_snapshot const&) = delete;
    rcu_snapshot& operator=(rcu_snapshot const&) = delete;

    /// The current value. Wait-free. The returned pointer stays valid when the fiber suspends.
    [[nodiscard]] std::shared_ptr<Value const> load() const noexcept {
        urcu_memb_read_lock();
        auto value = *m_holder.load(std::memory_order_acquire);
        urcu_memb_read_unlock();
        return value;
    }

    /// Replaces the current value. Blocks the calling thread for a grace period. Thread-safe.
    void store(std::shared_ptr<Value const> value) {
        auto* const new_holder = new holder(std::move(value));
        auto* const old_holder = m_holder.exchange(new_holder, std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old_holder;
    }

private:
    using holder = std::shared_ptr<Value const>;

    std::atomic<holder*> m_holder;
};

} // namespace pomelospread
