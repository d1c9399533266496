#include "gateway/fleet_registration.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <iterator>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

constexpr auto retry_delay = milliseconds(1500);
/// When the registration has not ended by then, the members are read in the meantime.
constexpr auto early_read_delay = milliseconds(700);
/// How often it is looked whether the members are to be read again.
constexpr auto audit_check_interval = milliseconds(500);
/// The row of a process that ended may be written or removed late, but not more often than this.
constexpr int max_write_attempts = 4;

void sleep_before_retry() {
    auto const spread = thread_random()() % static_cast<std::uint64_t>(retry_delay.count() / 2 + 1);
    boost::this_fiber::sleep_for(retry_delay + milliseconds(spread));
}

} // namespace

void fleet_registration::join() {
    m_thread.spawn([this] { read_members_early(); });
    for (bool is_joined = false; !is_joined && !m_is_stopping;) {
        try {
            write_row();
            read_members();
            is_joined = true;
        } catch (std::exception const& failure) {
            m_callbacks.record_failure(failure.what());
            sleep_before_retry();
        }
    }
    m_thread.spawn([this] { run_audit_loop(); });
}

void fleet_registration::read_members_early() {
    boost::this_fiber::sleep_for(early_read_delay);
    while (!m_is_stopping && !m_has_read_members) {
        try {
            read_members();
        } catch (std::exception const& failure) {
            m_callbacks.record_failure(failure.what());
            sleep_before_retry();
        }
    }
}

void fleet_registration::write_row() {
    auto replaced = m_row_version;
    for (int attempt = 0; attempt < max_write_attempts; ++attempt) {
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

void fleet_registration::remove_row() {
    if (!m_owns_row) {
        read_members();
    }
    // A row of another process is left to it.
    if (m_owns_row) {
        static_cast<void>(m_registry.remove_member(m_members.self().peer_address, m_row_version));
    }
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
    m_callbacks.members_changed();
    return findings;
}

void fleet_registration::run_audit_loop() {
    while (!m_is_stopping) {
        boost::this_fiber::sleep_for(audit_check_interval);
        if (m_members.self().leaving || !m_audit.is_read_due(m_members, clock::now(), thread_random())) {
            continue;
        }
        try {
            audit();
        } catch (std::exception const& failure) {
            m_callbacks.record_failure(failure.what());
        }
    }
}

void fleet_registration::audit() {
    auto const findings = read_members();
    for (auto const& entry : findings.unheard) {
        m_callbacks.greet(entry.peer_address);
    }
    if (findings.is_unregistered && !m_members.self().leaving) {
        write_row();
        log_line(log_level::warning, "registration_restored")
            .field("replaced", findings.own_row_version)
            .write();
    }
    for (auto const& member : findings.gone) {
        if (m_registry.remove_member(member.entry.peer_address, member.row_version)) {
            log_line(log_level::info, "member_row_removed")
                .field("peer", to_string(member.entry.peer_address))
                .field("instance", format_instance_id(member.entry.id))
                .write();
        }
    }
}

} // namespace pomelospread
