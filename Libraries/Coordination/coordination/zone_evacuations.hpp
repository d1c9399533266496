// The availability zones that operators evacuated: nothing may be sent to the targets there.
#pragma once

#include "coordination/store_version.hpp"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The last change of one zone that is known.
struct zone_evacuation {
    std::string zone;
    store_version changed_at; ///< Of the platform's store.
    bool is_evacuated = false;

    bool operator==(zone_evacuation const&) const = default;
};

/// Merges by zone: of two changes the one with the later version holds, whatever the order in which they
/// arrive and whoever tells of them. Not thread-safe.
class zone_evacuations {
public:
    /// Applies changes that this instance read, or that a peer told of. Returns whether one of them was new.
    bool merge(std::span<zone_evacuation const> changes);
    /// Applies a read of all evacuations that the platform's store held at `read_at`. A zone without one is
    /// not evacuated any more. Returns whether that changed anything.
    bool apply_complete_read(std::span<zone_evacuation const> evacuated, store_version read_at);

    [[nodiscard]] bool is_evacuated(std::string_view zone) const;
    /// The last changes by zone, the ends of evacuations included.
    [[nodiscard]] std::vector<zone_evacuation> changes() const;
    /// Whether an evacuation was ever heard of.
    [[nodiscard]] bool empty() const noexcept { return m_changes.empty(); }

private:
    /// More zones than a fleet has; a writer that floods the table cannot fill the memory.
    static constexpr std::size_t max_zones = 256;

    std::map<std::string, zone_evacuation, std::less<>> m_changes;
};

} // namespace pomelospread
