#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

std::uint16_t narrowed(double value) {
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

} // namespace

double load_exchange::decaying_usage::value_at(time_point now) const {
    auto const age =
        std::chrono::duration<double>(now - updated_at) / std::chrono::duration<double>(usage_half_life);
    return decayed_rounds * std::exp2(-std::max(0.0, age));
}

void load_exchange::decaying_usage::record_round(time_point now) {
    decayed_rounds = value_at(now) + 1.0;
    updated_at = now;
}

void load_exchange::send_updates(std::span<member_view const> members, instance_id self) {
    auto const now = std::chrono::steady_clock::now();
    std::map<endpoint, fleet_datagram> messages;
    for (auto const& [id, change] : m_state.pending_load_changes.take()) {
        auto const* pool = m_state.selector.pool_of(id);
        if (pool == nullptr) {
            continue;
        }
        target_load_update news{.target_hash = target_id_hash(id),
                                .in_flight = narrowed(m_state.selector.own_in_flight(id)),
                                .failures = static_cast<std::uint8_t>(std::min(change.failures, 255U))};
        if (change.report) {
            news.running = narrowed(change.report->running);
            news.waiting = narrowed(change.report->waiting);
            news.slowdown_percent = narrowed(std::max(1.0, std::round(change.report->slowdown * 100.0)));
            news.report_age_ms =
                narrowed(std::chrono::duration<double, std::milli>(now - change.reported_at).count());
        }
        auto const& homes = m_homes.peer_addresses_for_pool(*pool);
        auto const& users = m_peer_usage[*pool];
        for (auto const& member : members) {
            auto const& peer = member.entry.peer_address;
            auto const user = users.find(peer);
            bool const wanted = homes.contains(peer) ||
                                (user != users.end() && user->second.value_at(now) >= min_usage_rounds);
            if (member.entry.id != self && member.status != member_status::suspect && wanted) {
                auto& loads = messages[peer].load_updates;
                if (loads.size() < max_updates_per_datagram) {
                    loads.push_back(news);
                }
            }
        }
    }
    for (auto const& [peer, message] : messages) {
        m_send(message, peer);
    }
}

void load_exchange::receive(std::span<target_load_update const> news, endpoint const& from) {
    auto const now = std::chrono::steady_clock::now();
    auto const peer = std::hash<std::string>()(from.address);
    std::set<std::string_view> pools;
    for (auto const& each : news) {
        auto const* id = m_state.selector.find_by_hash(each.target_hash);
        if (id == nullptr) {
            continue;
        }
        auto const& pool = *m_state.selector.pool_of(*id);
        if (pools.insert(pool).second) {
            m_peer_usage[pool][from].record_round(now);
        }
        m_state.selector.update_peer_load(peer, *id, each.in_flight, each.failures, now);
        if (each.slowdown_percent > 0) {
            m_state.selector.apply_load_report(*id,
                                               {.running = each.running,
                                                .waiting = each.waiting,
                                                .slots = 1,
                                                .slowdown = each.slowdown_percent / 100.0},
                                               now - milliseconds(each.report_age_ms));
        }
    }
}

} // namespace pomelospread
