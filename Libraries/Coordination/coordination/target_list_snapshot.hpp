// A list of the targets that registered themselves on the platform.
#pragma once

#include "base/endpoint.hpp"
#include "coordination/store_version.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace pomelospread {

/// One incarnation of a target, as the platform lists it.
struct listed_target {
    std::string id;
    std::string pool;
    endpoint address;
    std::string zone;
    std::int64_t slots = 1;
    bool leaving = false; ///< The target announced its stop; it gets no new request.
    std::int64_t warm_up_remaining_ms = 0;
    std::int64_t started_unix_ms = 0; ///< A different value under the same id is another incarnation.

    bool operator==(listed_target const&) const = default;
};

/// When the platform's row of a target was last written.
struct row_write {
    std::uint64_t version = 0; ///< The store's version of the write.
    std::int64_t sequence = 0; ///< Of the writes of one incarnation.
};

/// The platform's complete list at one time, in order of the ids.
struct target_list_snapshot {
    store_version version; ///< The platform's version at the time of the read.
    std::vector<listed_target> targets;
    /// Of `targets`, in the same order. Only in a list that was read from the platform.
    std::vector<row_write> row_writes{};
    /// Of `targets`, those that the platform's list lacked and that the reader retained after an outage,
    /// since they may register again; in order. Which ones are retained is the reader's assumption.
    std::vector<std::string> retained_ids{};
};

} // namespace pomelospread
