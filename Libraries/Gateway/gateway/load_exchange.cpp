#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <cmath>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

std::uint16_t narrowed(double value) {
    return static_cast<std::uint16_t>(std::clamp(value, 0.0, 65535.0));
}

} // namespace

void load_exchange::tell(std::span<member_view const> members, instance_id self) {
    auto const now = std::chrono::steady_clock::now();
    std::map<endpoint, fleet_datagram> messages;
    for (auto const& [id, change] : m_state.changes.take()) {
        auto const* pool = m_state.board.pool_of(id);
        if (pool == nullptr) {
            continue;
        }
        load_news news{.target_hash = target_hash(id),
                       .in_flight = narrowed(m_state.board.in_flight(id)),
                       .failures = static_cast<std::uint8_t>(std::min(change.failures, 255U))};
        if (change.report) {
            news.running = narrowed(change.report->running);
            news.waiting = narrowed(change.report->waiting);
            news.slowdown_percent = narrowed(std::max(1.0, std::round(change.report->slowdown * 100.0)));
            news.age_ms =
                narrowed(std::chrono::duration<double, std::milli>(now - change.reported_at).count());
        }
        auto& told_all = m_told_all[*pool];
        bool const to_all = now - told_all >= tell_all_every;
        if (to_all) {
            told_all = now;
        }
        auto const& interested = m_interest[*pool];
        for (auto const& member : members) {
            auto const& peer = member.entry.peer_address;
            auto const heard = interested.find(peer);
            bool const wanted = to_all || (heard != interested.end() && now - heard->second < interest_life);
            if (member.entry.id != self && member.status != member_status::suspect && wanted) {
                auto& loads = messages[peer].loads;
                if (loads.size() < max_news_per_datagram) {
                    loads.push_back(news);
                }
            }
        }
    }
    for (auto const& [peer, message] : messages) {
        m_send(message, peer);
    }
}

void load_exchange::receive(std::span<load_news const> news, endpoint const& from) {
    auto const now = std::chrono::steady_clock::now();
    auto const peer = std::hash<std::string>()(from.address);
    for (auto const& each : news) {
        auto const* id = m_state.board.find_hash(each.target_hash);
        if (id == nullptr) {
            continue;
        }
        m_interest[*m_state.board.pool_of(*id)][from] = now;
        m_state.board.peer_load(peer, *id, each.in_flight, each.failures, now);
        if (each.slowdown_percent > 0) {
            m_state.board.report(*id,
                                 {.running = each.running,
                                  .waiting = each.waiting,
                                  .slots = 1,
                                  .slowdown = each.slowdown_percent / 100.0},
                                 now - milliseconds(each.age_ms));
        }
    }
}

} // namespace pomelospread
