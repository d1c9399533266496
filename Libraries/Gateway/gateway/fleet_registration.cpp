#include "gateway/fleet_registration.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "protocol/platform_json_codec.hpp"

#include <algorithm>
#include <iterator>

namespace pomelospread {

namespace {

/// The row of a process that ended may be written or removed late, but not more often than this.
constexpr int max_attempts = 4;

} // namespace

void fleet_registration::write_row() {
    auto replaced = m_row_version;
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        auto const outcome = m_registry.write_member(m_members.self(), replaced);
        if (outcome.is_done) {
            m_written_at = clock::now();
            m_owns_row = false; // Its version is not known before it is read.
            return;
        }
        replaced = outcome.row_version;
    }
    throw platform_unavailable("this instance's row is being changed by others");
}

member_list_findings fleet_registration::read_members() {
    auto const listed = m_registry.list_members();
    std::vector<instance_entry> entries;
    std::ranges::transform(listed, std::back_inserter(entries), &listed_member::entry);
    auto const now = clock::now();
    m_members.merge_platform_list(entries, now);
    auto findings = m_audit.compare(listed, m_members, now);
    m_row_version = findings.own_row_version;
    m_owns_row = !findings.is_unregistered;
    if (!m_has_read_members) {
        log_line(log_level::info, "members_read")
            .field("members", static_cast<std::uint64_t>(entries.size()))
            .write();
    }
    m_has_read_members = true;
    return findings;
}

void fleet_registration::remove_row() {
    if (!m_owns_row) {
        static_cast<void>(read_members());
    }
    // A row of another process is left to it.
    if (m_owns_row) {
        static_cast<void>(m_registry.remove_member(m_members.self().peer_address, m_row_version));
    }
}

void fleet_registration::remove_row_of(listed_member const& member) {
    if (m_registry.remove_member(member.entry.peer_address, member.row_version)) {
        log_line(log_level::info, "member_row_removed")
            .field("peer", to_string(member.entry.peer_address))
            .field("instance", format_instance_id(member.entry.id))
            .write();
    }
}

} // namespace pomelospread
