#include "entry/control_plane.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/platform_json_codec.hpp"
#include "transport/use_fiber.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>

namespace pomelospread {

namespace asio = boost::asio;

namespace {

constexpr auto peer_tables_timeout = std::chrono::milliseconds(500);
constexpr std::size_t peer_tables_attempts = 3;
/// Rounds of heartbeats sent at once when the tables change or this instance leaves, so that the change
/// spreads faster than with the one round of each heartbeat period.
constexpr std::size_t rounds_after_change = 3;
constexpr std::size_t rounds_per_tick = 1;
/// While requests are in progress, unchanged counts are sent again after this time, so that the receivers do
/// not drop them at `peer_loads::max_age`.
constexpr auto load_renewal_interval = std::chrono::milliseconds(300);
constexpr auto idle_load_check_interval = std::chrono::milliseconds(100);

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

asio::ip::udp::endpoint to_udp_endpoint(endpoint const& value) {
    return {asio::ip::make_address(value.address), value.port};
}

bool same_members(std::vector<member_view> const& left, std::vector<member_view> const& right) {
    return std::ranges::equal(left, right, [](member_view const& one, member_view const& other) {
        return one.entry == other.entry && one.status == other.status;
    });
}

} // namespace

control_plane::control_plane(io_thread& thread, shared_state& shared, platform_services platform)
    : m_thread(thread), m_shared(shared), m_platform(platform), m_tables(platform.table),
      m_membership(shared.self, shared.settings.membership),
      m_peer_links(thread, shared.self.id, shared.account.last_stored_sequence(),
                   [this](instance_id peer) { mark_suspect(peer); }),
      m_gossip_socket(thread.io()) {
    try {
        auto const local = to_udp_endpoint(shared.self.peer_address);
        m_gossip_socket.open(local.protocol());
        m_gossip_socket.bind(local);
    } catch (boost::system::system_error const& failure) {
        throw connect_failed("receiving on " + to_string(shared.self.peer_address) + ": " +
                             failure.code().message());
    }
}

void control_plane::start() {
    auto const& settings = m_shared.settings;
    m_thread.spawn([this] { receive_heartbeats(); });
    run_every(settings.instance_list_poll_interval, &control_plane::refresh_instance_list);
    run_every(settings.table_poll_interval, &control_plane::poll_tables);
    run_every(settings.membership.heartbeat_period, &control_plane::heartbeat_tick);
    run_every(settings.account_flush_interval, &control_plane::flush_account);
    run_every(settings.load_update_interval, &control_plane::send_load_updates_if_changed);
}

void control_plane::run_every(std::chrono::milliseconds period, periodic_task task) {
    m_thread.spawn([this, period, task] {
        constexpr auto stop_check = std::chrono::milliseconds(500);
        while (!m_stopping) {
            (this->*task)();
            auto const next = std::chrono::steady_clock::now() + period;
            while (!m_stopping && std::chrono::steady_clock::now() < next) {
                boost::this_fiber::sleep_until(std::min(next, std::chrono::steady_clock::now() + stop_check));
            }
        }
    });
}

void control_plane::refresh_instance_list() {
    try {
        m_platform.instances.register_instance(m_membership.self());
        auto const entries = m_platform.instances.list_instances();
        m_membership.merge_platform_list(entries, std::chrono::steady_clock::now());
        m_is_platform_reachable = true;
    } catch (error const& failure) {
        m_is_platform_reachable = false;
        log_line(log_level::warning, "instance_list_not_read").field("reason", failure.what()).write();
    }
    publish_fleet_state();
}

void control_plane::poll_tables() {
    try {
        auto const cell = m_platform.table.read("tables/current");
        if (cell.version > m_current_tables->version) {
            apply_tables(cell.value, "platform");
        }
    } catch (error const& failure) {
        m_shared.counters.add(counter::table_reads_failed);
        log_line(log_level::warning, "tables_not_read").field("reason", failure.what()).write();
        fetch_tables_from_peer();
    }
}

void control_plane::fetch_tables_from_peer() {
    auto candidates = m_membership.view();
    std::erase_if(candidates, [&](member_view const& member) {
        return member.entry.id == m_shared.self.id || member.tables_version <= m_current_tables->version;
    });
    std::ranges::sort(candidates, std::ranges::greater(), &member_view::tables_version);
    for (std::size_t i = 0; i < candidates.size() && i < peer_tables_attempts; ++i) {
        auto const ack = m_peer_links.link_to(candidates[i].entry)->send(tables_request{});
        auto const deadline = std::chrono::steady_clock::now() + peer_tables_timeout;
        if (ack->wait_until(deadline) != ack_status::accepted) {
            continue;
        }
        try {
            apply_tables(ack->payload(), "peer");
            return;
        } catch (error const& failure) {
            log_line(log_level::warning, "peer_tables_rejected").field("reason", failure.what()).write();
        }
    }
}

void control_plane::apply_tables(std::string_view encoded, std::string_view source) {
    auto revision = decode_revision(encoded);
    if (revision.version <= m_current_tables->version) {
        return;
    }
    m_current_tables = std::make_shared<routing_tables>(std::move(revision.tables_content));
    m_encoded_tables = std::string(encoded);
    m_tables_applied_unix_ms = unix_ms_now();
    m_published_members.clear();
    m_peer_loads.clear();
    publish_fleet_state();
    m_shared.counters.add(counter::tables_applied);
    log_line(log_level::info, "tables_in_force")
        .field("version", revision.version)
        .field("edit", revision.edit_id)
        .field("source", source)
        .field("milliseconds_since_accepted", m_tables_applied_unix_ms - revision.accepted_unix_ms)
        .write();
    send_heartbeats(rounds_after_change);
}

void control_plane::publish_fleet_state() {
    auto members = m_membership.view();
    m_had_peers = m_had_peers || members.size() > 1;
    bool const is_isolated = m_had_peers && members.size() == 1 && !m_is_platform_reachable;
    if (same_members(members, m_published_members) && is_isolated == m_published_is_isolated) {
        return;
    }
    if (is_isolated != m_published_is_isolated) {
        log_line(log_level::warning, is_isolated ? "cut_off" : "no_longer_cut_off").write();
    }
    m_published_is_isolated = is_isolated;
    for (auto const& member : members) {
        auto const previous = std::ranges::find_if(m_published_members, [&](member_view const& published) {
            return published.entry.id == member.entry.id;
        });
        if (previous == m_published_members.end() || previous->status != member.status) {
            log_line(log_level::info, "member_seen")
                .field("instance", format_instance_id(member.entry.id))
                .field("zone", member.entry.zone)
                .field("status", to_string(member.status))
                .write();
        }
    }
    m_published_members = members;
    m_shared.fleet.store(build_fleet_state(*m_shared.fleet.load(), m_current_tables, std::move(members),
                                           is_isolated, m_shared.settings.policy,
                                           m_shared.settings.pool_queue_capacity, steady_now()));
    m_peer_links.close_all_except(live_instances());
}

std::set<instance_id> control_plane::live_instances() const {
    std::set<instance_id> result;
    for (auto const& member : m_membership.view()) {
        result.insert(member.entry.id);
    }
    return result;
}

void control_plane::heartbeat_tick() {
    if (m_membership.tick(std::chrono::steady_clock::now())) {
        m_shared.counters.add(counter::pauses_detected);
        log_line(log_level::warning, "pause_detected").write();
    }
    m_shared.claims.with_lock(
        [](claim_window& window) { window.advance_epoch(key_epoch_at(std::chrono::system_clock::now())); });
    send_heartbeats(rounds_per_tick);
    publish_fleet_state();
}

void control_plane::send_heartbeats(std::size_t rounds) {
    for (std::size_t round = 0; round < rounds; ++round) {
        auto const bytes =
            encode(m_membership.make_gossip_message(m_current_tables->version, thread_random()));
        for (auto const& receiver : m_membership.choose_gossip_peers(thread_random())) {
            boost::system::error_code ignored;
            m_gossip_socket.send_to(asio::buffer(bytes), to_udp_endpoint(receiver.peer_address), 0, ignored);
            m_shared.counters.add(counter::heartbeats_sent);
            m_shared.counters.add(counter::heartbeat_bytes_sent, bytes.size());
        }
    }
}

void control_plane::receive_heartbeats() {
    std::array<char, max_datagram_bytes> buffer{};
    while (!m_stopping) {
        boost::system::error_code error;
        asio::ip::udp::endpoint sender;
        auto const size = m_gossip_socket.async_receive_from(asio::buffer(buffer), sender, use_fiber(error));
        if (error) {
            continue;
        }
        try {
            auto const message = decode<gossip_message>(std::string_view(buffer.data(), size));
            m_shared.counters.add(counter::heartbeats_received);
            m_shared.counters.add(counter::heartbeat_bytes_received, size);
            m_membership.apply_gossip(message, std::chrono::steady_clock::now());
            if (message.tables_version > m_current_tables->version) {
                m_thread.spawn([this] { poll_tables(); });
            }
            publish_fleet_state();
        } catch (malformed_message const& failure) {
            m_shared.counters.add(counter::datagrams_rejected);
            log_line(log_level::debug, "datagram_rejected").field("reason", failure.what()).write();
        }
    }
}

void control_plane::flush_account() {
    m_shared.account.flush(m_platform.objects, live_instances(), false);
}

void control_plane::send_load_updates_if_changed() {
    auto const changes = m_shared.in_flight_changes.load();
    bool const renew = m_shared.requests_in_progress.load() > 0 &&
                       steady_now() - m_load_updates_sent_at > load_renewal_interval;
    if (changes == m_sent_load_changes && !renew) {
        boost::this_fiber::sleep_for(idle_load_check_interval);
        return;
    }
    m_sent_load_changes = changes;
    m_load_updates_sent_at = steady_now();
    auto const fleet = m_shared.fleet.load();
    for (auto const& [name, pool] : fleet->pools) {
        send_pool_load_update(*fleet, name, pool);
    }
}

void control_plane::send_pool_load_update(fleet_state const& fleet, std::string const& name,
                                          pool_runtime const& pool) {
    auto const receivers = load_update_receivers(fleet, name, pool);
    if (receivers.empty()) {
        return;
    }
    auto const message = make_load_message(fleet, name, pool);
    bool const is_idle = std::ranges::all_of(message.in_flight, [](auto count) { return count == 0; });
    if (!pool.is_home && is_idle && message.leaving_targets.empty()) {
        return;
    }
    for (auto const& receiver : receivers) {
        m_peer_links.link_to(receiver)->send_unacknowledged(message);
    }
}

pool_load_update control_plane::make_load_message(fleet_state const& fleet, std::string const& name,
                                                  pool_runtime const& pool) const {
    pool_load_update message{.pool = name,
                             .tables_version = fleet.current_tables->version,
                             .in_flight = {},
                             .leaving_targets = {}};
    auto const now = steady_now();
    for (std::uint32_t i = 0; i < pool.targets->size(); ++i) {
        message.in_flight.push_back(static_cast<std::uint16_t>(pool.targets->in_flight(i)));
        auto const remaining = pool.targets->announced_leaving_remaining(i, now);
        if (remaining > nanoseconds::zero()) {
            auto const milliseconds =
                std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
            message.leaving_targets.push_back({.target_index = static_cast<std::uint16_t>(i),
                                               .remaining_ms = static_cast<std::uint32_t>(milliseconds)});
        }
    }
    return message;
}

std::vector<instance_entry> control_plane::load_update_receivers(fleet_state const& fleet,
                                                                 std::string const& name,
                                                                 pool_runtime const& pool) const {
    auto receivers = pool.other_homes;
    auto const reports = m_peer_loads.find(name);
    if (reports == m_peer_loads.end()) {
        return receivers;
    }
    // An instance that serves the pool without being one of its homes sends its counts to the homes, and the
    // homes send it theirs.
    for (auto const peer : reports->second.sending_peers()) {
        auto const* member = fleet.find_member(peer);
        bool const is_listed =
            std::ranges::any_of(receivers, [&](auto const& entry) { return entry.id == peer; });
        if (member != nullptr && !is_listed) {
            receivers.push_back(member->entry);
        }
    }
    return receivers;
}

peer_loads& control_plane::peer_loads_of(std::string const& name, pool_runtime const& pool) {
    return m_peer_loads.try_emplace(name, pool.targets->size()).first->second;
}

void control_plane::handle_load_message(instance_id from, pool_load_update const& message) {
    auto const fleet = m_shared.fleet.load();
    auto const* pool = fleet->find_pool(message.pool);
    if (pool == nullptr || message.tables_version != fleet->current_tables->version) {
        return;
    }
    auto const now = steady_now();
    auto& loads = peer_loads_of(message.pool, *pool);
    loads.update(from, message.in_flight, now);
    loads.expire(now);
    loads.apply_to(*pool->targets);
    for (auto const& leaving : message.leaving_targets) {
        if (leaving.target_index < pool->targets->size()) {
            pool->targets->set_leaving_until(leaving.target_index,
                                             now + std::chrono::milliseconds(leaving.remaining_ms));
        }
    }
    pool->queue->dequeue_and_wake();
}

peer_reply control_plane::handle_peer_batch(instance_id from, peer_batch batch) {
    peer_reply reply;
    for (auto& claim : batch.claims) {
        auto const granted = m_shared.claims.with_lock([&](claim_window& window) {
            return window.decide_claim(claim.key, claim.epoch) == claim_reply::granted;
        });
        if (granted && claim.record_sequence != 0) {
            static_cast<void>(
                m_shared.account.add_replica(from, claim.record_sequence, std::move(claim.record)));
        }
        m_shared.counters.add(counter::claims_given);
        reply.acks.push_back({.sequence = claim.sequence, .accepted = granted});
    }
    for (auto& record : batch.records) {
        bool const is_retained =
            m_shared.account.add_replica(from, record.record_sequence, std::move(record.record));
        if (record.sequence != 0) {
            reply.acks.push_back({.sequence = record.sequence, .accepted = is_retained});
        }
    }
    for (auto& update : batch.outcomes) {
        m_shared.claims.with_lock([&](claim_window& window) {
            window.record_outcome(update.key, update.epoch, std::move(update.outcome));
        });
    }
    for (auto const& load : batch.load_updates) {
        handle_load_message(from, load);
    }
    for (auto const& request : batch.tables_requests) {
        reply.acks.push_back({.sequence = request.sequence,
                              .accepted = m_current_tables->version > 0,
                              .payload = m_encoded_tables});
    }
    m_shared.account.remove_replicas_through(from, batch.last_stored_sequence);
    return reply;
}

void control_plane::mark_suspect(instance_id id) {
    m_membership.mark_suspect(id);
    publish_fleet_state();
}

void control_plane::announce_leaving() {
    m_membership.set_leaving();
    publish_fleet_state();
    send_heartbeats(rounds_after_change);
    refresh_instance_list();
}

bool control_plane::flush_and_deregister() {
    bool const stored = m_shared.account.flush(m_platform.objects, live_instances(), true);
    try {
        m_platform.instances.deregister_instance(m_shared.self.id);
    } catch (error const& failure) {
        log_line(log_level::warning, "not_withdrawn").field("reason", failure.what()).write();
    }
    return stored;
}

void control_plane::stop() {
    m_stopping = true;
    boost::system::error_code ignored;
    m_gossip_socket.close(ignored);
    m_peer_links.close_all();
}

std::string control_plane::status_json() const {
    nlohmann::json members = nlohmann::json::array();
    for (auto const& member : m_membership.view()) {
        members.push_back({{"id", format_instance_id(member.entry.id)},
                           {"zone", member.entry.zone},
                           {"caller_address", to_string(member.entry.caller_address)},
                           {"status", to_string(member.status)}});
    }
    nlohmann::json const document{{"id", format_instance_id(m_shared.self.id)},
                                  {"zone", m_shared.self.zone},
                                  {"tables_version", m_current_tables->version},
                                  {"in_force_unix_ms", m_tables_applied_unix_ms},
                                  {"platform_answers", m_is_platform_reachable},
                                  {"requests_in_progress", m_shared.requests_in_progress.load()},
                                  {"account_records_held", m_shared.account.size()},
                                  {"members", members}};
    return document.dump(2) + "\n";
}

} // namespace pomelospread
