#include "coordination/distribution_plan.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <tuple>

namespace pomelospread {

namespace {

/// The order of `list_poll_schedule::poll_rank`: the largest first, then by id.
auto rank_key(instance_entry const& entry) {
    return std::tuple(-static_cast<std::int64_t>(entry.processor_permille), entry.id);
}

} // namespace

distribution_plan::distribution_plan(instance_entry const& self, std::span<member_view const> members,
                                     distribution_limits limits)
    : m_is_direct(members.size() <= limits.max_direct_fleet_size) {
    std::vector<member_view const*> ranked;
    for (auto const& member : members) {
        ranked.push_back(&member);
    }
    std::ranges::sort(ranked, {}, [](member_view const* member) { return rank_key(member->entry); });
    std::map<std::string_view, std::size_t> relay_counts;
    std::size_t alive_count = 0;
    for (auto const* member : ranked) {
        auto const& entry = member->entry;
        bool const is_alive = member->status == member_status::alive;
        bool const is_relay = is_alive && relay_counts[entry.zone]++ < limits.relays_per_zone;
        bool const is_table_watcher = is_relay || (is_alive && alive_count++ < limits.table_watchers);
        if (entry.id == self.id) {
            m_is_relay = is_relay;
            m_is_first_relay = is_relay && m_zone_relays.empty();
            m_watches_tables = m_is_direct || is_table_watcher;
            continue;
        }
        if (entry.zone == self.zone) {
            m_zone_members.push_back(entry.peer_address);
            if (is_relay) {
                m_zone_relays.push_back(entry.peer_address);
            }
        } else if (m_is_direct || is_relay) {
            m_remote_relays.push_back(entry.peer_address);
        }
    }
    std::ranges::sort(m_zone_members);
}

std::vector<endpoint> distribution_plan::receivers() const {
    auto result = m_zone_members;
    result.insert(result.end(), m_remote_relays.begin(), m_remote_relays.end());
    return result;
}

bool distribution_plan::is_in_own_zone(endpoint const& peer) const {
    return std::ranges::binary_search(m_zone_members, peer);
}

bool distribution_plan::forwards_from(endpoint const& sender) const {
    return is_relay() && !is_in_own_zone(sender);
}

std::optional<endpoint> distribution_plan::fetch_source(endpoint const& sender) const {
    if (m_is_direct || m_is_relay || m_zone_relays.empty() || is_in_own_zone(sender)) {
        return sender;
    }
    return std::nullopt;
}

std::optional<endpoint> distribution_plan::object_collector() const {
    return m_is_direct || m_is_first_relay || m_zone_relays.empty() ? std::nullopt
                                                                    : std::optional(m_zone_relays.front());
}

std::optional<endpoint> distribution_plan::zone_relay() const {
    return m_zone_relays.empty() ? std::nullopt : std::optional(m_zone_relays.front());
}

} // namespace pomelospread
