#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

std::uint16_t clamp_to_uint16(double value) {
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

/// The bytes of an encoded `leaving_target_update`: the length of the id, the id and the incarnation.
std::size_t encoded_size(leaving_target_update const& value) {
    return 8 + value.id.size() + 8;
}

} // namespace

void load_exchange::add_leaving_target(fleet_datagram& message, leaving_target_update target) {
    auto size = encoded_size(target);
    for (auto const& each : message.leaving_targets) {
        size += encoded_size(each);
    }
    if (size <= max_leaving_bytes_per_datagram) {
        message.leaving_targets.push_back(std::move(target));
    }
}

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
    std::map<endpoint, std::vector<fleet_datagram>> messages;
    for (auto const& [id, change] : m_state.pending_load_changes.take()) {
        auto const* pool = m_state.selector.pool_of(id);
        if (pool == nullptr) {
            continue;
        }
        target_load_update update{.target_hash = target_id_hash(id),
                                  .in_flight = clamp_to_uint16(m_state.selector.own_in_flight(id)),
                                  .failures = static_cast<std::uint8_t>(std::min(change.failures, 255U))};
        if (change.report) {
            update.running = clamp_to_uint16(change.report->running);
            update.waiting = clamp_to_uint16(change.report->waiting);
            update.slowdown_percent =
                clamp_to_uint16(std::max(1.0, std::round(change.report->slowdown * 100.0)));
            update.report_age_ms =
                clamp_to_uint16(std::chrono::duration<double, std::milli>(now - change.reported_at).count());
        }
        auto const& homes = m_homes.peer_addresses_for_pool(*pool);
        auto const& peer_usage = m_peer_usage[*pool];
        for (auto const& member : members) {
            auto const& peer = member.entry.peer_address;
            auto const usage = peer_usage.find(peer);
            bool const receives_updates =
                homes.contains(peer) ||
                (usage != peer_usage.end() && usage->second.value_at(now) >= min_usage_rounds);
            if (member.entry.id != self && member.status != member_status::suspect && receives_updates) {
                auto& datagrams = messages[peer];
                if (datagrams.empty() || datagrams.back().load_updates.size() == max_updates_per_datagram) {
                    datagrams.push_back({.kind = datagram_kind::load_update});
                }
                datagrams.back().load_updates.push_back(update);
                if (change.leaving_incarnation) {
                    add_leaving_target(datagrams.back(), {id, *change.leaving_incarnation});
                }
            }
        }
    }
    for (auto const& [peer, datagrams] : messages) {
        for (auto const& message : datagrams) {
            m_send(message, peer);
        }
    }
}

void load_exchange::receive(std::span<target_load_update const> updates, endpoint const& sender) {
    auto const now = std::chrono::steady_clock::now();
    auto const peer = std::hash<std::string>()(sender.address);
    std::set<std::string_view> pools;
    for (auto const& update : updates) {
        auto const* id = m_state.selector.find_by_hash(update.target_hash);
        if (id == nullptr) {
            continue;
        }
        auto const& pool = *m_state.selector.pool_of(*id);
        if (pools.insert(pool).second) {
            m_peer_usage[pool][sender].record_round(now);
        }
        m_state.selector.update_peer_load(peer, *id, update.in_flight, update.failures, now);
        if (update.slowdown_percent > 0) {
            m_state.selector.apply_load_report(*id,
                                               {.running = update.running,
                                                .waiting = update.waiting,
                                                .slots = 1,
                                                .slowdown = update.slowdown_percent / 100.0},
                                               now - milliseconds(update.report_age_ms));
        }
    }
}

} // namespace pomelospread
