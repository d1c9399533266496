#include "gateway/fleet_synchronizer.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/target_list_updates.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// How long the platform may hold a request for newer tables. TCP keep-alive detects a dead connection.
constexpr auto tables_poll_timeout = milliseconds(20000);
/// Delay after applying tables, so that a burst of changes is read in a few steps. It is a small part of the
/// time within which a change must be in force.
constexpr auto table_change_delay = milliseconds(150);
constexpr auto failure_retry_delay = milliseconds(900);
constexpr auto first_failure_retry_delay = milliseconds(250);
/// A platform that drops its history continues to do so for a while; until it stops, the complete tables are
/// read at this interval.
constexpr auto history_lost_delay = milliseconds(500);
constexpr auto snapshot_timeout = milliseconds(800);
constexpr auto registration_retry_delay = milliseconds(1500);
/// Delay before tables or a target list are fetched from a peer: the platform's response or the remaining
/// updates of a change often arrive in the meantime.
constexpr auto snapshot_fetch_delay = milliseconds(60);
constexpr std::size_t max_snapshot_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_addresses = 64;
constexpr char const* snapshot_path = "/snapshot";

milliseconds jittered(milliseconds base) {
    return base + milliseconds(thread_random()() % static_cast<std::uint64_t>(base.count() / 2 + 1));
}

std::uint32_t age_ms(clock::time_point time, clock::time_point now) {
    auto const age = std::chrono::duration_cast<milliseconds>(now - time).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 3600000));
}

} // namespace

fleet_synchronizer::fleet_synchronizer(io_thread& thread, forwarding_state& state, target_client& targets,
                                       platform_store& store, instance_entry self)
    : m_thread(thread), m_state(state), m_target_client(targets), m_store(store),
      m_membership(std::move(self), membership_limits{}),
      m_socket(thread.io(), state.settings.peer_address, state.counters),
      m_peer_server(thread, state.settings.peer_address, http_limits{},
                    [this](http_request& request) { return handle_peer_request(request); }),
      m_peer_connections(thread.io(), 1, std::chrono::seconds(5)), m_homes(state.settings.homes),
      m_load_exchange(state, m_homes, [this](fleet_datagram const& message, endpoint const& to) {
          m_socket.send(message, to);
      }) {}

fleet_synchronizer::~fleet_synchronizer() = default;

void fleet_synchronizer::start() {
    m_peer_server.start();
    m_thread.spawn([this] {
        m_socket.receive(
            [this](auto const& message, auto const& sender) { handle_datagram(message, sender); });
    });
    m_thread.spawn([this] { watch_tables(); });
    m_thread.spawn([this] { poll_targets(); });
    m_thread.spawn([this] { join_fleet(); });
    m_thread.spawn([this] { run_gossip_loop(); });
    m_thread.spawn([this] { run_load_update_loop(); });
}

bool fleet_synchronizer::is_ready() const {
    return m_target_list.has_snapshot() && m_state.routes.load()->tables().version > 0;
}

void fleet_synchronizer::record_store_availability(bool answered, std::string_view call,
                                                   std::string_view reason) {
    if (answered == m_is_store_available) {
        return;
    }
    m_is_store_available = answered;
    log_line(answered ? log_level::info : log_level::warning, answered ? "store_regained" : "store_lost")
        .field("call", call)
        .field("reason", reason)
        .write();
}

// Routing tables

void fleet_synchronizer::watch_tables() {
    std::uint32_t failures = 0;
    while (!m_stopping) {
        try {
            auto result = m_has_read_tables
                              ? m_store.wait_for_newer_tables(m_tables_store_version, tables_poll_timeout)
                              : m_store.read_tables();
            record_store_availability(true, "tables", "");
            failures = 0;
            m_tables_store_version = std::max(m_tables_store_version, result.store_version);
            m_has_read_tables = true;
            if (result.content) {
                apply_tables(std::move(*result.content), "store");
                boost::this_fiber::sleep_for(table_change_delay);
            }
        } catch (history_lost const& failure) {
            log_line(log_level::info, "tables_history_lost").field("reason", failure.what()).write();
            m_has_read_tables = false;
            boost::this_fiber::sleep_for(jittered(history_lost_delay));
        } catch (std::exception const& failure) {
            m_state.counters.add(counter::table_reads_failed);
            record_store_availability(false, "tables", failure.what());
            boost::this_fiber::sleep_for(
                jittered(failures++ == 0 ? first_failure_retry_delay : failure_retry_delay));
        }
    }
}

void fleet_synchronizer::apply_tables(routing_tables content, std::string_view source) {
    auto const current_version = m_state.routes.load()->tables().version;
    if (content.version <= current_version) {
        return;
    }
    log_line(log_level::info, "tables_applied")
        .field("version", content.version)
        .field("before", current_version)
        .field("routes", static_cast<std::uint64_t>(content.routes.size()))
        .field("source", source)
        .write();
    m_state.counters.add(counter::tables_applied);
    m_state.routes.store(std::make_shared<route_index const>(std::move(content)));
}

// Target list

std::vector<poll_candidate> fleet_synchronizer::live_members() const {
    std::vector<poll_candidate> candidates;
    for (auto const& member : m_membership.view()) {
        if (member.status == member_status::alive) {
            candidates.push_back(
                {.id = member.entry.id, .processor_permille = member.entry.processor_permille});
        }
    }
    return candidates;
}

void fleet_synchronizer::poll_targets() {
    while (!m_stopping) {
        auto const rank = list_poll_schedule::poll_rank(
            {.id = m_membership.self().id, .processor_permille = m_membership.self().processor_permille},
            live_members());
        if (m_target_list.has_snapshot()) {
            auto const due = m_target_list.read_at() + m_list_poll_schedule.max_list_age(rank);
            auto const now = clock::now();
            if (now < due) {
                boost::this_fiber::sleep_until(std::min(due, now + m_list_poll_schedule.max_list_age(0)));
                continue;
            }
        }
        try {
            auto snapshot = m_store.read_targets();
            record_store_availability(true, "targets", "");
            auto const now = clock::now();
            auto const previous = m_target_list.current();
            bool const had_snapshot = m_target_list.has_snapshot();
            if (!m_target_list.apply_platform_snapshot(std::move(snapshot), now)) {
                broadcast_target_list_updates({current_target_list_update()});
                continue;
            }
            apply_targets("store");
            broadcast_target_list_updates(
                had_snapshot ? make_target_list_updates(previous, m_target_list.current(),
                                                        age_ms(m_target_list.read_at(), clock::now()))
                             : std::vector{current_target_list_update()});
        } catch (std::exception const& failure) {
            m_target_list.record_read_failure(clock::now());
            m_state.counters.add(counter::table_reads_failed);
            record_store_availability(false, "targets", failure.what());
            boost::this_fiber::sleep_for(jittered(m_list_poll_schedule.retry_delay(rank)));
        }
    }
}

target_list_update fleet_synchronizer::current_target_list_update() const {
    return {.version = m_target_list.current().version,
            .digest = m_target_list.digest(),
            .list_age_ms = age_ms(m_target_list.read_at(), clock::now())};
}

void fleet_synchronizer::broadcast_target_list_updates(std::vector<target_list_update> updates) {
    for (auto& update : updates) {
        broadcast({.has_list_update = true, .list_update = std::move(update)});
    }
}

void fleet_synchronizer::apply_targets(std::string_view source) {
    auto const& current = m_target_list.current();
    m_state.selector.set_targets(current.targets, clock::now());
    m_target_client.close_idle_connections_unless([&](std::string const& id, endpoint const& address) {
        auto const found = std::ranges::lower_bound(current.targets, id, {}, &listed_target::id);
        return found != current.targets.end() && found->id == id && found->address == address &&
               !found->leaving;
    });
    auto const leaving = std::ranges::count_if(current.targets, &listed_target::leaving);
    log_line(log_level::info, "targets_applied")
        .field("version", current.version)
        .field("targets", static_cast<std::uint64_t>(current.targets.size()))
        .field("leaving", static_cast<std::int64_t>(leaving))
        .field("source", source)
        .write();
}

void fleet_synchronizer::handle_target_list_update(target_list_update const& update, endpoint const& sender) {
    if (update.version == 0) {
        return;
    }
    auto const read_at = clock::now() - milliseconds(update.list_age_ms);
    if (update.digest == m_target_list.digest()) {
        m_target_list.confirm_unchanged(update.version, update.digest, read_at);
        return;
    }
    if (update.version < m_target_list.current().version) {
        return;
    }
    if (auto next = apply_target_list_update(m_target_list.current(), m_target_list.digest(), update)) {
        // Only the last update of a change has the new version. Until it arrives the list is a mixture, so it
        // keeps the time of the previous list.
        bool const is_complete = next->version > m_target_list.current().version;
        if (m_target_list.apply_peer_snapshot(std::move(*next),
                                              is_complete ? read_at : m_target_list.read_at())) {
            apply_targets("peer");
        }
        return;
    }
    if (update.version > m_target_list.current().version) {
        schedule_snapshot_fetch(
            sender, [this, version = update.version] { return m_target_list.current().version < version; });
    }
}

void fleet_synchronizer::run_load_update_loop() {
    while (!m_stopping) {
        boost::this_fiber::sleep_for(load_exchange::send_interval);
        if (m_load_exchange.has_pending_updates()) {
            m_load_exchange.send_updates(m_membership.view(), m_membership.self().id);
        }
    }
}

// Membership

void fleet_synchronizer::join_fleet() {
    // The seeds may be reachable while the platform is not.
    for (auto const& seed : m_state.settings.seed_addresses) {
        endpoint const peer{seed, m_state.settings.peer_address.port};
        if (peer != m_state.settings.peer_address && !is_ready()) {
            m_thread.spawn([this, peer] { fetch_snapshot(peer); });
        }
    }
    bool registered = false;
    while (!m_stopping && !registered) {
        try {
            m_store.instances().register_instance(m_membership.self());
            auto const entries = m_store.instances().list_instances();
            m_membership.merge_platform_list(entries, clock::now());
            registered = true;
            log_line(log_level::info, "members_read")
                .field("members", static_cast<std::uint64_t>(entries.size()))
                .write();
            // Announces this instance to all members immediately; gossip keeps the entry alive afterwards.
            fleet_datagram const announcement{.has_members = true,
                                              .members = m_membership.make_gossip_message(0, thread_random()),
                                              .has_list_update = true,
                                              .list_update = current_target_list_update()};
            for (auto const& entry : entries) {
                if (entry.id != m_membership.self().id) {
                    m_socket.send(announcement, entry.peer_address);
                }
            }
        } catch (std::exception const& failure) {
            record_store_availability(false, "members", failure.what());
            boost::this_fiber::sleep_for(jittered(registration_retry_delay));
        }
    }
}

void fleet_synchronizer::run_gossip_loop() {
    auto const period = membership_limits{}.heartbeat_period;
    std::uint32_t unready_rounds = 0;
    while (!m_stopping) {
        boost::this_fiber::sleep_for(period);
        if (m_membership.tick(clock::now())) {
            m_state.counters.add(counter::pauses_detected);
            log_line(log_level::warning, "pause_detected").write();
        }
        fleet_datagram const message{.has_members = true,
                                     .members = m_membership.make_gossip_message(
                                         m_state.routes.load()->tables().version, thread_random()),
                                     .has_list_update = true,
                                     .list_update = current_target_list_update()};
        for (auto const& receiver : m_membership.choose_gossip_peers(thread_random())) {
            m_socket.send(message, receiver.peer_address);
        }
        auto const members = m_membership.view();
        m_homes.refresh(*m_state.routes.load(), members);
        m_state.extra_attempts.set_instance_count(members.size());
        m_state.max_homes_per_host = m_homes.max_homes_per_host();
        if (!is_ready() && ++unready_rounds % 4 == 0 && !m_is_fetching_snapshot) {
            std::vector<endpoint> peers;
            for (auto const& seed : m_state.settings.seed_addresses) {
                peers.push_back({seed, m_state.settings.peer_address.port});
            }
            for (auto const& member : members) {
                peers.push_back(member.entry.peer_address);
            }
            std::erase(peers, m_state.settings.peer_address);
            if (!peers.empty()) {
                auto const peer = peers[thread_random()() % peers.size()];
                m_thread.spawn([this, peer] { fetch_snapshot(peer); });
            }
        }
    }
}

void fleet_synchronizer::broadcast(fleet_datagram const& message) {
    std::vector<endpoint> receivers;
    for (auto const& member : m_membership.view()) {
        if (member.entry.id != m_membership.self().id) {
            receivers.push_back(member.entry.peer_address);
        }
    }
    m_socket.send_to_all(message, receivers);
}

void fleet_synchronizer::handle_datagram(fleet_datagram const& message, std::string const& sender_ip) {
    endpoint const sender{sender_ip, m_state.settings.peer_address.port};
    if (message.has_members) {
        m_membership.apply_gossip(message.members, clock::now());
        if (auto const version = message.members.tables_version;
            version > m_state.routes.load()->tables().version) {
            schedule_snapshot_fetch(
                sender, [this, version] { return m_state.routes.load()->tables().version < version; });
        }
    }
    if (message.has_list_update) {
        handle_target_list_update(message.list_update, sender);
    }
    if (!message.load_updates.empty()) {
        m_load_exchange.receive(message.load_updates, sender);
    }
}

void fleet_synchronizer::schedule_snapshot_fetch(endpoint const& peer, std::function<bool()> is_behind) {
    if (m_is_fetch_scheduled) {
        return;
    }
    m_is_fetch_scheduled = true;
    m_thread.spawn([this, peer, is_behind = std::move(is_behind)] {
        boost::this_fiber::sleep_for(jittered(snapshot_fetch_delay));
        m_is_fetch_scheduled = false;
        if (is_behind()) {
            fetch_snapshot(peer);
        }
    });
}

bool fleet_synchronizer::fetch_snapshot(endpoint const& peer) {
    if (m_is_fetching_snapshot || m_stopping) {
        return false;
    }
    m_is_fetching_snapshot = true;
    bool succeeded = false;
    try {
        auto const deadline = clock::now() + snapshot_timeout;
        auto connection = m_peer_connections.acquire_idle(peer);
        if (connection == nullptr) {
            connection = m_peer_connections.open(peer, deadline);
        }
        http_request request(boost::beast::http::verb::get, snapshot_path, 11);
        set_header_field(request, "Host", to_string(peer));
        auto const response = connection->exchange(request, max_snapshot_bytes, deadline);
        m_peer_connections.release(peer, std::move(connection));
        auto snapshot = decode_snapshot(response.body());
        auto const now = clock::now();
        m_membership.merge_platform_list(snapshot.members, now);
        if (snapshot.current_tables.version > 0) {
            apply_tables(std::move(snapshot.current_tables), "peer");
        }
        if (snapshot.target_list_version > 0 &&
            m_target_list.apply_peer_snapshot(
                {.version = snapshot.target_list_version, .targets = std::move(snapshot.targets)},
                now - milliseconds(snapshot.target_list_age_ms))) {
            apply_targets("peer");
        }
        succeeded = true;
    } catch (std::exception const& failure) {
        log_line(log_level::info, "snapshot_failed")
            .field("peer", to_string(peer))
            .field("reason", failure.what())
            .write();
    }
    m_is_fetching_snapshot = false;
    return succeeded;
}

http_response fleet_synchronizer::handle_peer_request(http_request const& request) const {
    if (request.target() != snapshot_path) {
        return make_response(404, "text/plain", "");
    }
    peer_snapshot snapshot{.current_tables = m_state.routes.load()->tables(),
                           .target_list_version = m_target_list.current().version,
                           .target_list_age_ms = age_ms(m_target_list.read_at(), clock::now()),
                           .targets = m_target_list.current().targets,
                           .members = {}};
    for (auto const& member : m_membership.view()) {
        snapshot.members.push_back(member.entry);
    }
    return make_response(200, "application/octet-stream", encode_snapshot(snapshot));
}

std::vector<endpoint> fleet_synchronizer::addresses_for(address_query const& query) const {
    return m_homes.addresses_for(*m_state.routes.load(), m_membership.view(), query.host, query.zone,
                                 max_addresses);
}

void fleet_synchronizer::announce_leaving() {
    m_membership.set_leaving();
    broadcast({.has_members = true,
               .members =
                   m_membership.make_gossip_message(m_state.routes.load()->tables().version, thread_random()),
               .has_list_update = true,
               .list_update = current_target_list_update()});
    m_thread.spawn([this] {
        try {
            m_store.instances().deregister_instance(m_membership.self().id);
        } catch (std::exception const& failure) {
            log_line(log_level::warning, "withdraw_failed").field("reason", failure.what()).write();
        }
    });
}

void fleet_synchronizer::stop() {
    m_stopping = true;
    m_socket.close();
    m_peer_server.stop_listening();
}

std::string fleet_synchronizer::status_json() const {
    nlohmann::json members = nlohmann::json::array();
    for (auto const& member : m_membership.view()) {
        members.push_back({{"id", format_instance_id(member.entry.id)},
                           {"zone", member.entry.zone},
                           {"status", std::string(to_string(member.status))},
                           {"tables_version", member.tables_version}});
    }
    return nlohmann::json{{"instance", format_instance_id(m_membership.self().id)},
                          {"tables_version", m_state.routes.load()->tables().version},
                          {"targets_version", m_target_list.current().version},
                          {"targets", m_target_list.current().targets.size()},
                          {"targets_age_ms", age_ms(m_target_list.read_at(), clock::now())},
                          {"store_answers", m_is_store_available},
                          {"members", members}}
               .dump() +
           "\n";
}

} // namespace pomelospread
