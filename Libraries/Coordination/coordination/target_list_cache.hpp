// The targets that registered themselves, as last read from the platform or received from another instance.
#pragma once

#include "coordination/restored_list_filter.hpp"
#include "coordination/target_list_snapshot.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace pomelospread {

struct target_list_cache_limits {
    /// When more time than this lies between two reads, an outage between them may have gone unnoticed.
    std::chrono::milliseconds max_read_gap{2500};
    /// How long after an outage entries may be missing; targets register again within two seconds.
    std::chrono::milliseconds reregistration_time{2200};
};

/// This instance's current target list. Its version never decreases. Not thread-safe; time is passed in.
class target_list_cache {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit target_list_cache(target_list_cache_limits limits = {}) : m_limits(limits) {}

    /// Applies a snapshot that was read from the platform at `read_at`, unless its version is older than the
    /// current one. After an outage, entries that it lacks are retained for `reregistration_time`, since
    /// entries expire while the platform is unreachable. The first list of a newer era of the platform's
    /// store counts as the end of an outage, and rows that were not written since do not change what is
    /// known. Returns whether the list changed.
    bool apply_platform_snapshot(target_list_snapshot snapshot, time_point read_at);
    /// Applies the current list of a peer, unless its version is older than the current one. The peer has
    /// already retained entries after an outage, so entries that its list lacks are removed. Of the entries
    /// that it retained, only those that are known here remain, as they are known: a peer that was suspended
    /// or cut off does not know which targets left. Returns whether the list changed.
    bool apply_peer_snapshot(target_list_snapshot snapshot, time_point read_at);
    /// A read of the platform's list failed. It counts as an outage when the current list is older than half
    /// of `max_read_gap`.
    void record_read_failure(time_point now);
    /// A peer read the platform's list at `read_at`. Updates the version and the time of the current list
    /// when both lists have the same digest.
    void confirm_unchanged(store_version version, std::uint64_t digest, time_point read_at);

    [[nodiscard]] bool has_snapshot() const noexcept { return m_snapshot.version != store_version{}; }
    [[nodiscard]] target_list_snapshot const& current() const noexcept { return m_snapshot; }
    /// Digest of the current list; see `target_list_digest`.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }
    [[nodiscard]] time_point read_at() const noexcept { return m_read_at; }
    /// Whether this instance may have been suspended or cut off since the list was read, so that its peers'
    /// lists may be newer.
    [[nodiscard]] bool is_outdated(time_point now) const noexcept {
        return has_snapshot() && now - m_read_at > m_limits.max_read_gap;
    }

private:
    void begin_era_if_newer(store_version version, time_point read_at);
    void replace_retained_entries(target_list_snapshot& snapshot) const;
    /// A peer's read after the outage that this instance saw shows that it is over.
    void end_outage_by_peer(time_point read_at);
    bool replace(target_list_snapshot snapshot, time_point read_at);

    target_list_cache_limits m_limits;
    target_list_snapshot m_snapshot;
    restored_list_filter m_restored_list_filter;
    std::uint64_t m_digest = 0;
    time_point m_read_at{};
    time_point m_outage_ended_at{}; ///< Time of the first read after an outage, by this instance or a peer.
    std::optional<time_point> m_outage_seen_at; ///< The last failure of the outage in progress.
};

/// Hash of every field except the remaining warm-up times; equal lists have equal digests.
[[nodiscard]] std::uint64_t target_list_digest(std::vector<listed_target> const& targets);

} // namespace pomelospread
