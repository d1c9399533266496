// Holds the account records of one instance and replicas for its peers, and writes them to the object store
// in segments.
#pragma once

#include "base/metrics.hpp"
#include "coordination/platform.hpp"
#include "state/account_journal.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <set>

namespace pomelospread {

/// A thread-safe account journal that can be flushed to the object store.
class account_recorder {
public:
    account_recorder(instance_id self, std::size_t capacity, metrics& counters)
        : m_journal(self, capacity), m_metrics(counters) {}

    /// Adds a request's record and returns its sequence; nothing when the journal is full, after which the
    /// request must be refused.
    [[nodiscard]] std::optional<std::uint64_t> append(account_record const& record);
    /// Sets how the request ended.
    void complete(std::uint64_t sequence, account_record const& record);

    [[nodiscard]] bool add_replica(instance_id owner, std::uint64_t sequence, account_record record);
    void remove_replicas_through(instance_id owner, std::uint64_t last_sequence);

    /// Stores the own records that were pending at the call, in objects of up to `max_segment_records`
    /// records, and recovers the records whose owners are not in `alive`: it stores their replicas. Returns
    /// whether all these own records were stored. Call from one fiber only.
    bool flush(object_store& store, std::set<instance_id> const& alive, bool final);

    /// Own records up to this sequence are in the object store. Peers are sent this value so that they remove
    /// their replicas.
    [[nodiscard]] std::atomic<std::uint64_t> const& last_stored_sequence() const noexcept {
        return m_last_stored_sequence;
    }
    [[nodiscard]] std::size_t size();

private:
    static constexpr std::size_t max_segment_records = 20000;

    bool store_own_records(object_store& store, bool final);
    void store_orphaned_replicas(object_store& store, std::set<instance_id> const& alive);
    bool put_segment(object_store& store, account_segment const& segment);

    std::mutex m_mutex;
    account_journal m_journal;
    metrics& m_metrics;
    std::atomic<std::uint64_t> m_last_stored_sequence{0};
};

} // namespace pomelospread
