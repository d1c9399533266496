#include "entry/account_recorder.hpp"

#include "base/log.hpp"

namespace pomelospread {

std::optional<std::uint64_t> account_recorder::append(account_record const& record) {
    std::lock_guard const lock(m_mutex);
    return m_journal.append(record);
}

void account_recorder::complete(std::uint64_t sequence, account_record const& record) {
    std::lock_guard const lock(m_mutex);
    m_journal.complete(sequence, record);
}

bool account_recorder::add_replica(instance_id owner, std::uint64_t sequence, account_record record) {
    std::lock_guard const lock(m_mutex);
    return m_journal.add_replica(owner, sequence, std::move(record));
}

void account_recorder::remove_replicas_through(instance_id owner, std::uint64_t last_sequence) {
    std::lock_guard const lock(m_mutex);
    m_journal.remove_replicas_through(owner, last_sequence);
}

std::size_t account_recorder::size() {
    std::lock_guard const lock(m_mutex);
    return m_journal.size();
}

bool account_recorder::flush(object_store& store, std::set<instance_id> const& alive, bool final) {
    bool const all_stored = store_own_records(store, final);
    store_orphaned_replicas(store, alive);
    return all_stored;
}

bool account_recorder::store_own_records(object_store& store, bool final) {
    // New records arrive while an object is written. They wait for the next flush; otherwise a busy instance
    // would write a long series of small objects.
    std::uint64_t last_to_store = 0;
    {
        std::lock_guard const lock(m_mutex);
        last_to_store = m_journal.last_sequence();
    }
    for (;;) {
        std::optional<account_segment> segment;
        {
            std::lock_guard const lock(m_mutex);
            if (!final && m_journal.last_stored_sequence() >= last_to_store) {
                return true;
            }
            segment = m_journal.next_segment(max_segment_records, final);
        }
        if (!segment) {
            return true;
        }
        // If a response of the store is lost, the next flush writes the records again, possibly with later
        // outcomes and more records. The account export merges both objects.
        if (!put_segment(store, *segment)) {
            return false;
        }
        std::lock_guard const lock(m_mutex);
        m_journal.mark_stored(segment->last_sequence);
        m_last_stored_sequence = m_journal.last_stored_sequence();
        if (segment->final) {
            return true;
        }
    }
}

void account_recorder::store_orphaned_replicas(object_store& store, std::set<instance_id> const& alive) {
    std::vector<instance_id> owners;
    {
        std::lock_guard const lock(m_mutex);
        owners = m_journal.replica_owners();
    }
    for (auto const owner : owners) {
        if (alive.contains(owner)) {
            continue;
        }
        std::optional<account_segment> segment;
        {
            std::lock_guard const lock(m_mutex);
            segment = m_journal.recovery_segment(owner);
        }
        if (!segment || !put_segment(store, *segment)) {
            continue;
        }
        m_metrics.add(counter::segments_recovered);
        remove_replicas_through(owner, segment->last_sequence);
    }
}

bool account_recorder::put_segment(object_store& store, account_segment const& segment) {
    try {
        store.put(segment_object_name(segment), encode_segment(segment));
        m_metrics.add(counter::segments_stored);
        return true;
    } catch (error const& failure) {
        m_metrics.add(counter::segment_failures);
        log_line(log_level::warning, "segment_not_stored").field("reason", failure.what()).write();
        return false;
    }
}

} // namespace pomelospread
