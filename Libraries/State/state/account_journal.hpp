// The account records that one instance holds: its own until they are stored, and replicas for its peers.
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

/// Consecutive account records of one instance, stored as one object.
struct account_segment {
    std::uint64_t owner = 0; ///< The instance that received the requests.
    /// Unless `recovered`, the segment holds every sequence from `first_sequence` to `last_sequence`; it is
    /// empty when `last_sequence` is one less.
    std::uint64_t first_sequence = 0;
    std::uint64_t last_sequence = 0;
    bool final = false; ///< The owner's last segment, written in an orderly stop.
    /// Stored by another instance from its replicas after the owner failed; may have gaps.
    bool recovered = false;
    std::int64_t oldest_unix_ms = 0;
    std::int64_t newest_unix_ms = 0;
    std::vector<account_record> records;
};

/// Encodes a segment as JSON lines, a header line first.
[[nodiscard]] std::string encode_segment(account_segment const& segment);
/// Decodes the text of `encode_segment`. Throws `malformed_message` when the text is malformed.
[[nodiscard]] account_segment decode_segment(std::string_view text);
/// Name of the segment's object. The names of one owner's own segments sort by sequence, and so do the names
/// of its recovered segments.
[[nodiscard]] std::string segment_object_name(account_segment const& segment);

/// Holds at most `capacity` records, own records and replicas together; only `complete` may exceed it.
/// Not thread-safe; does no I/O.
class account_journal {
public:
    account_journal(std::uint64_t self, std::size_t capacity);

    /// Adds the record of a request that this instance received and returns its sequence, or nothing when the
    /// journal is full.
    [[nodiscard]] std::optional<std::uint64_t> append(account_record record);
    /// Replaces the record with the completed one. When the record was already stored, appends the completed
    /// one under a new sequence and returns false.
    bool complete(std::uint64_t sequence, account_record record);

    /// The oldest own records that are not stored, up to `max_records`. Nothing when there are none, but with
    /// `final` an empty segment. The records stay in the journal until `mark_stored`.
    [[nodiscard]] std::optional<account_segment> next_segment(std::size_t max_records, bool final) const;
    /// Removes the own records up to `last_sequence`, which are in the object store now.
    void mark_stored(std::uint64_t last_sequence);
    [[nodiscard]] std::uint64_t last_stored_sequence() const noexcept { return m_last_stored_sequence; }
    [[nodiscard]] std::uint64_t last_sequence() const noexcept { return m_next_sequence - 1; }

    /// Adds or replaces the replica of a peer's record. Returns false when a new one finds the journal full.
    [[nodiscard]] bool add_replica(std::uint64_t owner, std::uint64_t sequence, account_record record);
    /// Removes the replicas of the owner's records up to `last_sequence`, which are in the object store now.
    void remove_replicas_through(std::uint64_t owner, std::uint64_t last_sequence);
    /// The replicas held for an owner that failed, as a segment; nothing when there are none. They stay in
    /// the journal until `remove_replicas_through`.
    [[nodiscard]] std::optional<account_segment> recovery_segment(std::uint64_t owner) const;
    /// The instances for which replicas are held.
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
