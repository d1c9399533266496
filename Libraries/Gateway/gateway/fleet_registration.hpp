// Keeps this instance's row in the platform's list of members, and compares the list with the members known.
#pragma once

#include "coordination/member_list_audit.hpp"

#include <chrono>
#include <cstdint>

namespace pomelospread {

/// Used on one thread; each method may suspend the calling fiber and throws what `platform_store` throws.
class fleet_registration {
public:
    using clock = std::chrono::steady_clock;

    fleet_registration(member_registry& registry, membership& members)
        : m_registry(registry), m_members(members) {}

    /// Writes this instance's row over whatever row its address has.
    void write_row();
    /// Reads the list and merges it into the members.
    [[nodiscard]] member_list_findings read_members();
    /// Removes the row of this instance, unless another process has written it since.
    void remove_row();
    /// Removes the row of an instance that is gone, unless it was written again since.
    void remove_row_of(listed_member const& member);

    [[nodiscard]] member_list_audit& audit() noexcept { return m_audit; }
    [[nodiscard]] bool has_read_members() const noexcept { return m_has_read_members; }
    [[nodiscard]] clock::time_point written_at() const noexcept { return m_written_at; }

private:
    member_registry& m_registry;
    membership& m_members;
    member_list_audit m_audit;
    bool m_has_read_members = false;
    bool m_owns_row = false;         ///< The row at this address was last read as this instance's.
    std::uint64_t m_row_version = 0; ///< As last read; 0: there is no row.
    clock::time_point m_written_at{};
};

} // namespace pomelospread
