#include "gateway/fleet_sync.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/list_notes.hpp"
#include "protocol/json_codec.hpp"

#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// How long the platform may hold a question for newer tables; a dead connection shows by its keep-alive.
constexpr auto tables_wait = milliseconds(20000);
/// After a change, so that a storm of changes is read in a few steps. A small part of the time in which a
/// change must be in force.
constexpr auto change_pause = milliseconds(150);
constexpr auto failure_pause = milliseconds(900);
constexpr auto first_failure_pause = milliseconds(250);
/// A platform that drops its history goes on doing so for a while; meanwhile the tables are read whole.
constexpr auto history_pause = milliseconds(500);
constexpr auto snapshot_timeout = milliseconds(800);
constexpr auto announce_pause = milliseconds(1500);
/// Before a list or tables are fetched from a peer: the platform's own answer or the other notes of a change
/// are often on their way.
constexpr auto fetch_pause = milliseconds(60);
constexpr std::size_t max_snapshot_bytes = std::size_t{16} * 1024 * 1024;
constexpr std::size_t max_addresses = 64;
constexpr char const* snapshot_path = "/snapshot";

milliseconds jittered(milliseconds base) {
    return base + milliseconds(thread_random()() % static_cast<std::uint64_t>(base.count() / 2 + 1));
}

std::uint32_t age_ms(clock::time_point at, clock::time_point now) {
    auto const age = std::chrono::duration_cast<milliseconds>(now - at).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, 3600000));
}

} // namespace

fleet_sync::fleet_sync(io_thread& thread, forwarding_state& state, target_client& targets, fleet_store& store,
                       instance_entry self)
    : m_thread(thread), m_state(state), m_target_client(targets), m_store(store),
      m_members(std::move(self), membership_limits{}),
      m_socket(thread.io(), state.settings.peers, state.counters),
      m_peer_server(thread, state.settings.peers, http_limits{},
                    [this](http_request& request) { return answer_peer(request); }),
      m_peer_connections(thread.io(), 1, std::chrono::seconds(5)), m_homes(state.settings.homes),
      m_loads(state, m_homes,
              [this](fleet_datagram const& message, endpoint const& to) { m_socket.send(message, to); }) {}

fleet_sync::~fleet_sync() = default;

void fleet_sync::start() {
    m_peer_server.start();
    m_thread.spawn([this] {
        m_socket.receive([this](auto const& message, auto const& sender) { take(message, sender); });
    });
    m_thread.spawn([this] { follow_tables(); });
    m_thread.spawn([this] { follow_targets(); });
    m_thread.spawn([this] { follow_members(); });
    m_thread.spawn([this] { gossip(); });
    m_thread.spawn([this] { tell_loads(); });
}

bool fleet_sync::is_ready() const {
    return m_list.is_known() && m_state.routes.load()->content().version > 0;
}

void fleet_sync::note_store(bool answered, std::string_view what, std::string_view reason) {
    if (answered == m_store_answers) {
        return;
    }
    m_store_answers = answered;
    log_line(answered ? log_level::info : log_level::warning, answered ? "store_regained" : "store_lost")
        .field("call", what)
        .field("reason", reason)
        .write();
}

// Tables

void fleet_sync::follow_tables() {
    std::uint32_t failures = 0;
    while (!m_stopping) {
        try {
            auto reading = m_tables_read ? m_store.await_tables(m_tables_store_version, tables_wait)
                                         : m_store.read_tables();
            note_store(true, "tables", "");
            failures = 0;
            m_tables_store_version = std::max(m_tables_store_version, reading.store_version);
            m_tables_read = true;
            if (reading.content) {
                adopt_tables(std::move(*reading.content), "store");
                boost::this_fiber::sleep_for(change_pause);
            }
        } catch (history_lost const& failure) {
            log_line(log_level::info, "tables_history_lost").field("reason", failure.what()).write();
            m_tables_read = false;
            boost::this_fiber::sleep_for(jittered(history_pause));
        } catch (std::exception const& failure) {
            m_state.counters.add(counter::table_reads_failed);
            note_store(false, "tables", failure.what());
            boost::this_fiber::sleep_for(jittered(failures++ == 0 ? first_failure_pause : failure_pause));
        }
    }
}

void fleet_sync::adopt_tables(tables content, std::string_view source) {
    auto const known = m_state.routes.load()->content().version;
    if (content.version <= known) {
        return;
    }
    log_line(log_level::info, "tables_applied")
        .field("version", content.version)
        .field("before", known)
        .field("routes", static_cast<std::uint64_t>(content.routes.size()))
        .field("source", source)
        .write();
    m_state.counters.add(counter::tables_applied);
    m_state.routes.store(std::make_shared<route_index const>(std::move(content)));
}

// Targets

std::vector<list_reader> fleet_sync::live_members() const {
    std::vector<list_reader> readers;
    for (auto const& member : m_members.view()) {
        if (member.status == member_status::alive) {
            readers.push_back({.id = member.entry.id, .processor_permille = member.entry.processor_permille});
        }
    }
    return readers;
}

void fleet_sync::follow_targets() {
    while (!m_stopping) {
        auto const rank = read_schedule::rank_of(
            {.id = m_members.self().id, .processor_permille = m_members.self().processor_permille},
            live_members());
        if (m_list.is_known()) {
            auto const due = m_list.read_at() + m_schedule.allowed_age(rank);
            auto const now = clock::now();
            if (now < due) {
                boost::this_fiber::sleep_until(std::min(due, now + m_schedule.allowed_age(0)));
                continue;
            }
        }
        try {
            auto reading = m_store.read_targets();
            note_store(true, "targets", "");
            auto const now = clock::now();
            auto const before = m_list.current();
            bool const was_known = m_list.is_known();
            if (!m_list.apply_reading(std::move(reading), now)) {
                tell_list({current_note()});
                continue;
            }
            adopt_targets("store");
            tell_list(was_known
                          ? notes_between(before, m_list.current(), age_ms(m_list.read_at(), clock::now()))
                          : std::vector{current_note()});
        } catch (std::exception const& failure) {
            m_list.note_failure(clock::now());
            m_state.counters.add(counter::table_reads_failed);
            note_store(false, "targets", failure.what());
            boost::this_fiber::sleep_for(jittered(m_schedule.pause_after_failure(rank)));
        }
    }
}

list_note fleet_sync::current_note() const {
    return {.version = m_list.current().version,
            .digest = m_list.digest(),
            .age_ms = age_ms(m_list.read_at(), clock::now())};
}

void fleet_sync::tell_list(std::vector<list_note> notes) {
    for (auto& note : notes) {
        send_to_all({.has_targets = true, .targets = std::move(note)});
    }
}

void fleet_sync::adopt_targets(std::string_view source) {
    auto const& current = m_list.current();
    m_state.board.set_targets(current.targets, clock::now());
    m_target_client.drop_unless([&](std::string const& id, endpoint const& address) {
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

void fleet_sync::take_list_note(list_note const& note, endpoint const& sender) {
    if (note.version == 0) {
        return;
    }
    auto const read_at = clock::now() - milliseconds(note.age_ms);
    if (note.digest == m_list.digest()) {
        m_list.confirm(note.version, note.digest, read_at);
        return;
    }
    if (note.version < m_list.current().version) {
        return;
    }
    if (auto next = with_note(m_list.current(), m_list.digest(), note)) {
        // A list that lacks the later notes of its reading is no newer than before.
        bool const is_whole = next->version > m_list.current().version;
        if (m_list.apply_shared(std::move(*next), is_whole ? read_at : m_list.read_at())) {
            adopt_targets("peer");
        }
        return;
    }
    if (note.version > m_list.current().version) {
        fetch_later(sender, [this, version = note.version] { return m_list.current().version < version; });
    }
}

void fleet_sync::tell_loads() {
    while (!m_stopping) {
        boost::this_fiber::sleep_for(load_exchange::interval);
        if (m_loads.has_news()) {
            m_loads.tell(m_members.view(), m_members.self().id);
        }
    }
}

// Members

void fleet_sync::follow_members() {
    // The seeds may be up while the platform is not.
    for (auto const& seed : m_state.settings.seeds) {
        endpoint const peer{seed, m_state.settings.peers.port};
        if (peer != m_state.settings.peers && !is_ready()) {
            m_thread.spawn([this, peer] { fetch_snapshot(peer); });
        }
    }
    bool announced = false;
    while (!m_stopping && !announced) {
        try {
            m_store.instances().announce(m_members.self());
            auto const entries = m_store.instances().read();
            m_members.merge_list(entries, clock::now());
            announced = true;
            log_line(log_level::info, "members_read")
                .field("members", static_cast<std::uint64_t>(entries.size()))
                .write();
            // News of this instance to all at once; gossip keeps it up.
            fleet_datagram const hello{.has_members = true,
                                       .members = m_members.compose(0, thread_random()),
                                       .has_targets = true,
                                       .targets = current_note()};
            for (auto const& entry : entries) {
                if (entry.id != m_members.self().id) {
                    m_socket.send(hello, entry.peer_address);
                }
            }
        } catch (std::exception const& failure) {
            note_store(false, "members", failure.what());
            boost::this_fiber::sleep_for(jittered(announce_pause));
        }
    }
}

void fleet_sync::gossip() {
    auto const period = membership_limits{}.heartbeat_period;
    std::uint32_t beats = 0;
    while (!m_stopping) {
        boost::this_fiber::sleep_for(period);
        if (m_members.tick(clock::now())) {
            m_state.counters.add(counter::pauses_detected);
            log_line(log_level::warning, "pause_detected").write();
        }
        fleet_datagram const message{
            .has_members = true,
            .members = m_members.compose(m_state.routes.load()->content().version, thread_random()),
            .has_targets = true,
            .targets = current_note()};
        for (auto const& receiver : m_members.choose_receivers(thread_random())) {
            m_socket.send(message, receiver.peer_address);
        }
        auto const view = m_members.view();
        m_homes.refresh(*m_state.routes.load(), view);
        m_state.extra.set_instances(view.size());
        m_state.most_homes = m_homes.most_homes();
        if (!is_ready() && ++beats % 4 == 0 && !m_fetching) {
            std::vector<endpoint> peers;
            for (auto const& seed : m_state.settings.seeds) {
                peers.push_back({seed, m_state.settings.peers.port});
            }
            for (auto const& member : view) {
                peers.push_back(member.entry.peer_address);
            }
            std::erase(peers, m_state.settings.peers);
            if (!peers.empty()) {
                auto const peer = peers[thread_random()() % peers.size()];
                m_thread.spawn([this, peer] { fetch_snapshot(peer); });
            }
        }
    }
}

void fleet_sync::send_to_all(fleet_datagram const& message) {
    std::vector<endpoint> receivers;
    for (auto const& member : m_members.view()) {
        if (member.entry.id != m_members.self().id) {
            receivers.push_back(member.entry.peer_address);
        }
    }
    m_socket.send_to_all(message, receivers);
}

void fleet_sync::take(fleet_datagram const& message, std::string const& sender_ip) {
    endpoint const sender{sender_ip, m_state.settings.peers.port};
    if (message.has_members) {
        m_members.receive(message.members, clock::now());
        if (auto const version = message.members.tables_version;
            version > m_state.routes.load()->content().version) {
            fetch_later(sender,
                        [this, version] { return m_state.routes.load()->content().version < version; });
        }
    }
    if (message.has_targets) {
        take_list_note(message.targets, sender);
    }
    if (!message.loads.empty()) {
        m_loads.receive(message.loads, sender);
    }
}

void fleet_sync::fetch_later(endpoint const& peer, std::function<bool()> is_behind) {
    if (m_fetch_waits) {
        return;
    }
    m_fetch_waits = true;
    m_thread.spawn([this, peer, is_behind = std::move(is_behind)] {
        boost::this_fiber::sleep_for(jittered(fetch_pause));
        m_fetch_waits = false;
        if (is_behind()) {
            fetch_snapshot(peer);
        }
    });
}

bool fleet_sync::fetch_snapshot(endpoint const& peer) {
    if (m_fetching || m_stopping) {
        return false;
    }
    m_fetching = true;
    bool answered = false;
    try {
        auto const deadline = clock::now() + snapshot_timeout;
        auto connection = m_peer_connections.take_idle(peer);
        if (connection == nullptr) {
            connection = m_peer_connections.open(peer, deadline);
        }
        http_request request(boost::beast::http::verb::get, snapshot_path, 11);
        set_field(request, "Host", to_string(peer));
        auto const response = connection->exchange(request, max_snapshot_bytes, deadline);
        m_peer_connections.give_back(peer, std::move(connection));
        auto snapshot = decode_knowledge(response.body());
        auto const now = clock::now();
        m_members.merge_list(snapshot.members, now);
        if (snapshot.routes.version > 0) {
            adopt_tables(std::move(snapshot.routes), "peer");
        }
        if (snapshot.targets_version > 0 &&
            m_list.apply_shared({.version = snapshot.targets_version, .targets = std::move(snapshot.targets)},
                                now - milliseconds(snapshot.targets_age_ms))) {
            adopt_targets("peer");
        }
        answered = true;
    } catch (std::exception const& failure) {
        log_line(log_level::info, "snapshot_failed")
            .field("peer", to_string(peer))
            .field("reason", failure.what())
            .write();
    }
    m_fetching = false;
    return answered;
}

http_response fleet_sync::answer_peer(http_request const& request) const {
    if (request.target() != snapshot_path) {
        return make_response(404, "text/plain", "");
    }
    fleet_knowledge snapshot{.routes = m_state.routes.load()->content(),
                             .targets_version = m_list.current().version,
                             .targets_age_ms = age_ms(m_list.read_at(), clock::now()),
                             .targets = m_list.current().targets,
                             .members = {}};
    for (auto const& member : m_members.view()) {
        snapshot.members.push_back(member.entry);
    }
    return make_response(200, "application/octet-stream", encode_knowledge(snapshot));
}

std::vector<endpoint> fleet_sync::addresses_for(address_query const& query) const {
    return m_homes.addresses_for(*m_state.routes.load(), m_members.view(), query.host, query.zone,
                                 max_addresses);
}

void fleet_sync::announce_leaving() {
    m_members.set_leaving();
    send_to_all({.has_members = true,
                 .members = m_members.compose(m_state.routes.load()->content().version, thread_random()),
                 .has_targets = true,
                 .targets = current_note()});
    m_thread.spawn([this] {
        try {
            m_store.instances().withdraw(m_members.self().id);
        } catch (std::exception const& failure) {
            log_line(log_level::warning, "withdraw_failed").field("reason", failure.what()).write();
        }
    });
}

void fleet_sync::stop() {
    m_stopping = true;
    m_socket.close();
    m_peer_server.stop_listening();
}

std::string fleet_sync::status() const {
    nlohmann::json members = nlohmann::json::array();
    for (auto const& member : m_members.view()) {
        members.push_back({{"id", format_instance(member.entry.id)},
                           {"zone", member.entry.zone},
                           {"status", std::string(to_string(member.status))},
                           {"tables_version", member.tables_version}});
    }
    return nlohmann::json{{"instance", format_instance(m_members.self().id)},
                          {"tables_version", m_state.routes.load()->content().version},
                          {"targets_version", m_list.current().version},
                          {"targets", m_list.current().targets.size()},
                          {"targets_age_ms", age_ms(m_list.read_at(), clock::now())},
                          {"store_answers", m_store_answers},
                          {"members", members}}
               .dump() +
           "\n";
}

} // namespace pomelospread
