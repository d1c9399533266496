#include "coordination/membership.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelospread {

namespace {

constexpr std::size_t max_dead_records = 4096;

} // namespace

std::string_view to_string(member_status status) noexcept {
    switch (status) {
    case member_status::alive:
        return "alive";
    case member_status::leaving:
        return "leaving";
    case member_status::suspect:
        return "suspect";
    case member_status::dead:
        return "dead";
    }
    return "dead";
}

membership::membership(instance_entry self, membership_limits limits)
    : m_self(std::move(self)), m_limits(limits) {}

void membership::merge_platform_list(std::span<instance_entry const> entries, time_point now) {
    m_now = std::max(m_now, now);
    m_listed_dead_members.clear();
    for (auto const& entry : entries) {
        if (entry.id == m_self.id) {
            continue;
        }
        if (m_dead_heartbeats.contains(entry.id)) {
            m_listed_dead_members.push_back(entry);
            continue;
        }
        auto const [found, added] =
            m_members.try_emplace(entry.id, member{.entry = entry, .heartbeat_advanced_at = now});
        if (!added) {
            found->second.entry.leaving = found->second.entry.leaving || entry.leaving;
        }
    }
}

void membership::apply_gossip(gossip_message const& message, time_point now) {
    m_now = std::max(m_now, now);
    auto const& sender = message.sender;
    if (sender.id != m_self.id && sender.id != 0) {
        // A message from the member itself shows that it is alive, even if it was declared dead before.
        m_dead_heartbeats.erase(sender.id);
        std::erase_if(m_listed_dead_members, [&](auto const& entry) { return entry.id == sender.id; });
        auto& known = m_members[sender.id];
        known.entry = sender;
        known.locally_suspected = false;
        known.heartbeat_advanced_at = now;
        known.has_heartbeat = true;
        known.tables_version = std::max(known.tables_version, message.tables_version);
    }
    for (auto const& digest : message.digests) {
        auto const found = m_members.find(digest.id);
        if (found == m_members.end()) {
            continue;
        }
        auto& known = found->second;
        known.entry.leaving = known.entry.leaving || digest.leaving;
        if (digest.heartbeat > known.heartbeat) {
            known.heartbeat = digest.heartbeat;
            known.locally_suspected = false;
            known.heartbeat_advanced_at = now;
            known.has_heartbeat = true;
        }
    }
}

void membership::mark_suspect(instance_id id) {
    if (auto const found = m_members.find(id); found != m_members.end()) {
        found->second.locally_suspected = true;
    }
}

bool membership::is_heard(instance_id id) const {
    auto const found = m_members.find(id);
    return found != m_members.end() && found->second.has_heartbeat &&
           status_of(found->second) != member_status::dead;
}

void membership::set_watched(std::set<instance_id> ids) {
    for (auto const id : m_watched) {
        auto const found = m_members.find(id);
        if (found != m_members.end() && status_of(found->second) == member_status::suspect) {
            ids.insert(id);
        }
    }
    m_watched = std::move(ids);
}

bool membership::tick(time_point now) {
    ++m_heartbeat;
    bool const paused = m_has_ticked && now - m_now > m_limits.pause_threshold;
    if (paused) {
        for (auto& [id, known] : m_members) {
            known.heartbeat_advanced_at = now;
        }
    }
    m_now = std::max(m_now, now);
    m_has_ticked = true;
    evict_dead_members();
    return paused;
}

gossip_message membership::make_gossip_message(std::uint64_t tables_version, random_source& random) {
    gossip_message message{.sender = m_self, .tables_version = tables_version, .digests = {}};
    message.digests.push_back({.id = m_self.id, .heartbeat = m_heartbeat, .leaving = m_self.leaving});
    std::vector<member_digest> watched;
    std::vector<member_digest> others;
    for (auto const& [id, value] : m_members) {
        if (value.has_heartbeat) {
            auto& known = m_watched.contains(id) ? watched : others;
            known.push_back({.id = id, .heartbeat = value.heartbeat, .leaving = value.entry.leaving});
        }
    }
    auto const sample = [&](std::vector<member_digest> const& known, std::size_t count) {
        std::ranges::sample(known, std::back_inserter(message.digests), static_cast<std::ptrdiff_t>(count),
                            random);
    };
    auto const own_digests = message.digests.size();
    sample(watched, m_limits.watched_digests_per_message);
    sample(others, m_limits.digests_per_message + own_digests - message.digests.size());
    return message;
}

std::vector<instance_entry> membership::choose_gossip_peers(random_source& random) const {
    std::vector<instance_entry> candidates;
    for (auto const& [id, value] : m_members) {
        candidates.push_back(value.entry);
    }
    std::vector<instance_entry> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen),
                        static_cast<std::ptrdiff_t>(m_limits.gossip_fan_out), random);
    std::ranges::sample(m_listed_dead_members, std::back_inserter(chosen), 1, random);
    return chosen;
}

std::vector<member_view> membership::view() const {
    std::vector<member_view> result;
    result.push_back({.entry = m_self,
                      .status = m_self.leaving ? member_status::leaving : member_status::alive,
                      .tables_version = 0});
    for (auto const& [id, value] : m_members) {
        auto const status = status_of(value);
        if (status != member_status::dead) {
            result.push_back(
                {.entry = value.entry, .status = status, .tables_version = value.tables_version});
        }
    }
    std::ranges::sort(result, {}, [](member_view const& each) { return each.entry.id; });
    return result;
}

double membership::timeout_scale() const {
    auto const others = static_cast<double>(m_members.size());
    return std::max(1.0, others / static_cast<double>(m_limits.digests_per_message));
}

std::chrono::duration<double, std::milli> membership::suspect_after(instance_id id) const {
    std::chrono::duration<double, std::milli> const scaled = m_limits.suspect_after * timeout_scale();
    return m_watched.contains(id)
               ? std::min<std::chrono::duration<double, std::milli>>(scaled, m_limits.watched_suspect_after)
               : scaled;
}

member_status membership::status_of(member const& value) const {
    auto const time_since_heartbeat = m_now - value.heartbeat_advanced_at;
    if (time_since_heartbeat > m_limits.dead_after * timeout_scale()) {
        return member_status::dead;
    }
    if (value.locally_suspected || time_since_heartbeat > suspect_after(value.entry.id)) {
        return member_status::suspect;
    }
    return value.entry.leaving ? member_status::leaving : member_status::alive;
}

void membership::evict_dead_members() {
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (status_of(it->second) != member_status::dead) {
            ++it;
            continue;
        }
        m_dead_heartbeats[it->first] = it->second.heartbeat;
        it = m_members.erase(it);
    }
    while (m_dead_heartbeats.size() > max_dead_records) {
        m_dead_heartbeats.erase(m_dead_heartbeats.begin());
    }
}

} // namespace pomelospread
