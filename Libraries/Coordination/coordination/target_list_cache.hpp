// The targets that registered themselves, as last read from the platform or told by another instance.
#pragma once

#include "base/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pomelospread {

/// One lifetime of one target.
struct listed_target {
    std::string id;
    std::string pool;
    endpoint address;
    std::string zone;
    std::int64_t slots = 1;
    bool leaving = false; ///< It announced that it stops; it gets no new request.
    std::int64_t warm_up_remaining_ms = 0;
    std::int64_t started_unix_ms = 0; ///< Another value under the same id is another lifetime.

    bool operator==(listed_target const&) const = default;
};

/// A whole reading of the platform's list, in order of the ids.
struct target_list_snapshot {
    std::uint64_t version = 0; ///< The platform's version at the moment of the reading.
    std::vector<listed_target> targets;
};

struct target_list_cache_limits {
    /// A reading this long after the one before may follow an outage that nobody saw.
    std::chrono::milliseconds max_read_gap{2500};
    /// How long after an outage entries may still be missing: they are written again within two seconds.
    std::chrono::milliseconds reregistration_time{2200};
};

/// What this instance believes of the list. Versions only rise. Not thread-safe; time is passed in.
class target_list_cache {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit target_list_cache(target_list_cache_limits limits = {}) : m_limits(limits) {}

    /// A reading of the platform that was made at `read_at`. Entries that it lacks are kept for a while when
    /// an outage came before it, since they lapse while the platform is away. Returns whether the list
    /// changed.
    bool apply_platform_snapshot(target_list_snapshot reading, time_point read_at);
    /// What a peer believes; it has dealt with outages itself. Returns whether the list changed.
    bool apply_peer_snapshot(target_list_snapshot reading, time_point read_at);
    /// The platform did not answer.
    void record_read_failure(time_point now);
    /// A peer read the same list at `read_at`.
    void confirm_unchanged(std::uint64_t version, std::uint64_t digest, time_point read_at);

    [[nodiscard]] bool has_snapshot() const noexcept { return m_snapshot.version > 0; }
    [[nodiscard]] target_list_snapshot const& current() const noexcept { return m_snapshot; }
    /// Equal lists have equal digests.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_digest; }
    [[nodiscard]] time_point read_at() const noexcept { return m_read_at; }

private:
    bool replace(target_list_snapshot reading, time_point read_at);

    target_list_cache_limits m_limits;
    target_list_snapshot m_snapshot;
    std::uint64_t m_digest = 0;
    time_point m_read_at{};
    time_point m_outage_ended_at{}; ///< The first reading after an outage.
    bool m_in_outage = false;
};

[[nodiscard]] std::uint64_t target_list_digest(std::vector<listed_target> const& targets);

} // namespace pomelospread
