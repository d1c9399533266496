// The account records that one instance holds: its own until they are stored, and copies for its peers.
#pragma once

#include "base/errors.hpp"
#include "state/account_record.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelospread {

/// A run of one instance's records, stored as one object.
struct account_segment {
    std::uint64_t owner = 0;          ///< The instance whose requests these are.
    std::uint64_t first_sequence = 0; ///< Sequences from first to last stand in the segment without a gap.
    std::uint64_t last_sequence = 0;
    bool final = false;     ///< The owner stopped in order after this segment.
    bool recovered = false; ///< Written by a peer from its copies; may have gaps.
    std::int64_t oldest_unix_ms = 0;
    std::int64_t newest_unix_ms = 0;
    std::vector<account_record> records;
};

/// Renders a segment as JSON lines, a header line first; reads it back.
/// `decode_segment` throws `malformed_message` for anything else.
[[nodiscard]] std::string encode_segment(account_segment const& segment);
[[nodiscard]] account_segment decode_segment(std::string_view text);
/// Name of the segment's object; names of one owner sort in order of their sequences.
[[nodiscard]] std::string segment_object_name(account_segment const& segment);

/// Bounded by `capacity` records in all. Not thread-safe; no I/O.
class account_journal {
public:
    account_journal(std::uint64_t self, std::size_t capacity);

    /// Adds a request of this instance and returns its sequence, or nothing when the journal is full.
    [[nodiscard]] std::optional<std::uint64_t> append(account_record record);
    /// Sets how the request ended; returns false when it was flushed before, after which the completed
    /// record is appended again.
    bool complete(std::uint64_t sequence, account_record record);

    /// The next own records to store, up to `max_records`; nothing when there are none.
    /// They stay in the journal until `mark_stored`.
    [[nodiscard]] std::optional<account_segment> next_segment(std::size_t max_records, bool final) const;
    /// The own records up to `last_sequence` are in the object store.
    void mark_stored(std::uint64_t last_sequence);
    [[nodiscard]] std::uint64_t last_stored_sequence() const noexcept { return m_last_stored_sequence; }
    [[nodiscard]] std::uint64_t last_sequence() const noexcept { return m_next_sequence - 1; }

    /// Keeps a copy for a peer; false when the journal is full.
    [[nodiscard]] bool add_replica(std::uint64_t owner, std::uint64_t sequence, account_record record);
    /// The owner stored its records up to `last_sequence`.
    void remove_replicas_through(std::uint64_t owner, std::uint64_t last_sequence);
    /// The copies of a dead owner as a segment; they stay until `remove_replicas_through`.
    [[nodiscard]] std::optional<account_segment> recovery_segment(std::uint64_t owner) const;
    /// The owners that copies are held for.
    [[nodiscard]] std::vector<std::uint64_t> replica_owners() const;

    [[nodiscard]] std::size_t size() const noexcept { return m_own_records.size() + m_replica_count; }
    [[nodiscard]] std::size_t unstored_record_count() const noexcept { return m_own_records.size(); }

private:
    std::uint64_t m_self;
    std::size_t m_capacity;
    std::uint64_t m_next_sequence = 1;
    std::uint64_t m_last_stored_sequence = 0;
    std::deque<account_record> m_own_records; ///< The front has sequence `m_last_stored_sequence + 1`.
    std::map<std::uint64_t, std::map<std::uint64_t, account_record>> m_replicas;
    std::size_t m_replica_count = 0;
};

} // namespace pomelospread
