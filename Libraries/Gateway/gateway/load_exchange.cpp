#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

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

void load_exchange::keep_for_far_round(std::string const& id, load_change const& change) {
    if (!change.in_flight_changed && change.failures == 0) {
        return; // Only a load probe, which those far away do not use.
    }
    auto& kept = m_far_changes[id];
    kept.failures += change.failures;
    if (change.report) {
        kept.report = change.report;
        kept.reported_at = change.reported_at;
    }
}

void load_exchange::add_update(datagrams_by_peer& datagrams, std::string const& id, load_change const& change,
                               receiver_group group, std::span<member_view const> members, instance_id self,
                               time_point now) const {
    auto const* pool = m_state.selector.pool_of(id);
    if (pool == nullptr) {
        return;
    }
    target_load_update update{.target_hash = target_id_hash(id),
                              .in_flight = clamp_to_uint16(m_state.selector.own_in_flight(id)),
                              .failures = static_cast<std::uint8_t>(std::min(change.failures, 255U))};
    if (change.report) {
        update.running = clamp_to_uint16(change.report->running);
        update.waiting = clamp_to_uint16(change.report->waiting);
        update.slowdown_percent = clamp_to_uint16(std::max(1.0, std::round(change.report->slowdown * 100.0)));
        update.report_age_ms =
            clamp_to_uint16(std::chrono::duration<double, std::milli>(now - change.reported_at).count());
    }
    auto const& homes = m_homes.peer_addresses_for_pool(*pool);
    auto const usages = m_peer_usage.find(*pool);
    auto const zone = m_state.selector.zone_of(id);
    for (auto const& member : members) {
        auto const& peer = member.entry.peer_address;
        bool const is_near = member.entry.zone == zone;
        if (member.entry.id == self || member.status == member_status::suspect ||
            (group == receiver_group::near_target && !is_near) ||
            (group == receiver_group::far_from_target && is_near)) {
            continue;
        }
        bool receives_updates = homes.contains(peer);
        if (!receives_updates && usages != m_peer_usage.end()) {
            auto const usage = usages->second.find(peer);
            receives_updates =
                usage != usages->second.end() && usage->second.value_at(now) >= min_usage_rounds;
        }
        if (!receives_updates) {
            continue;
        }
        auto& messages = datagrams[peer];
        if (messages.empty() || messages.back().load_updates.size() == max_updates_per_datagram) {
            messages.push_back({.kind = datagram_kind::load_update});
        }
        messages.back().load_updates.push_back(update);
        if (change.leaving_incarnation) {
            add_leaving_target(messages.back(), {id, *change.leaving_incarnation});
        }
    }
}

void load_exchange::send_updates(std::span<member_view const> members, instance_id self) {
    auto const now = std::chrono::steady_clock::now();
    datagrams_by_peer datagrams;
    for (auto const& [id, change] : m_state.pending_load_changes.take()) {
        auto const* pool = m_state.selector.pool_of(id);
        // That a target leaves is urgent everywhere.
        bool const is_kept =
            pool != nullptr && m_state.selector.uses_search(*pool) && !change.leaving_incarnation;
        add_update(datagrams, id, change, is_kept ? receiver_group::near_target : receiver_group::all,
                   members, self, now);
        if (is_kept) {
            keep_for_far_round(id, change);
        }
    }
    if (!m_far_changes.empty() && now - m_far_sent_at >= far_send_interval) {
        for (auto const& [id, change] : std::exchange(m_far_changes, {})) {
            add_update(datagrams, id, change, receiver_group::far_from_target, members, self, now);
        }
        m_far_sent_at = now;
    }
    for (auto const& [peer, messages] : datagrams) {
        for (auto const& message : messages) {
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
