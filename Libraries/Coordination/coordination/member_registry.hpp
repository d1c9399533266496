// The interface to the members' table of the platform's store, in which the instances register themselves.
#pragma once

#include "coordination/platform.hpp"

#include <cstdint>
#include <vector>

namespace pomelospread {

/// A row of the members' table, whose key is the peer address.
struct listed_member {
    instance_entry entry;
    std::uint64_t row_version = 0;
};

/// The outcome of a conditional write: `row_version` is what the condition should have named.
struct member_write {
    bool is_done = false;
    std::uint64_t row_version = 0;
};

/// Every change names the version of the row that it replaces, 0 for none, since a change whose response was
/// lost may be performed seconds later, when the row belongs to another process. Calls suspend the calling
/// fiber and throw what `platform_store` throws.
class member_registry {
public:
    virtual ~member_registry() = default;

    [[nodiscard]] virtual std::vector<listed_member> list_members() = 0;
    [[nodiscard]] virtual member_write write_member(instance_entry const& entry,
                                                    std::uint64_t replaced_version) = 0;
    /// Returns whether the row had that version.
    [[nodiscard]] virtual bool remove_member(endpoint const& peer_address, std::uint64_t row_version) = 0;
};

} // namespace pomelospread
