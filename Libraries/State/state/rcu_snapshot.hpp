// A value that is replaced whole and read without locks: read-copy-update through liburcu.
#pragma once

#include <urcu/urcu-memb.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <utility>

namespace pomelospread {

/// Holds an immutable value. Readers take a reference inside a short RCU read section and never suspend in
/// it; a writer swaps the pointer and waits for a grace period before it frees the old holder.
/// Every reading thread must be registered with `urcu_memb_register_thread`.
template<class Value>
class rcu_snapshot {
public:
    explicit rcu_snapshot(std::shared_ptr<Value const> value) : m_holder(new holder(std::move(value))) {}

    ~rcu_snapshot() { delete m_holder.load(); }

    rcu_snapshot(rcu_snapshot const&) = delete;
    rcu_snapshot& operator=(rcu_snapshot const&) = delete;

    /// The value in force. Wait-free; the reference stays valid across suspensions.
    [[nodiscard]] std::shared_ptr<Value const> load() const noexcept {
        urcu_memb_read_lock();
        auto value = *m_holder.load(std::memory_order_acquire);
        urcu_memb_read_unlock();
        return value;
    }

    /// Puts a new value in force. Blocks the calling thread for a grace period. Thread-safe.
    void store(std::shared_ptr<Value const> value) {
        auto* const fresh = new holder(std::move(value));
        auto* const old = m_holder.exchange(fresh, std::memory_order_acq_rel);
        urcu_memb_synchronize_rcu();
        delete old;
    }

private:
    using holder = std::shared_ptr<Value const>;

    std::atomic<holder*> m_holder;
};

} // namespace pomelospread
