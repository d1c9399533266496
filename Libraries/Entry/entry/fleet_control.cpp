#include "entry/fleet_control.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/json_codec.hpp"
#include "transport/use_fiber.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>

namespace pomelospread {

namespace asio = boost::asio;

namespace {

constexpr auto peer_tables_timeout = std::chrono::milliseconds(500);
constexpr std::size_t peer_tables_attempts = 3;
/// How many times the usual fan-out a new version is told to at once.
constexpr std::size_t news_rounds = 3;
constexpr std::size_t usual_rounds = 1;
/// Counts of requests in progress are told again this often, before `peer_loads::max_age`.
constexpr auto load_renewal = std::chrono::milliseconds(300);
constexpr auto idle_load_interval = std::chrono::milliseconds(100);

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

asio::ip::udp::endpoint to_udp(endpoint const& value) {
    return {asio::ip::make_address(value.address), value.port};
}

bool same_members(std::vector<member_view> const& left, std::vector<member_view> const& right) {
    return std::ranges::equal(left, right, [](member_view const& one, member_view const& other) {
        return one.entry == other.entry && one.status == other.status;
    });
}

} // namespace

fleet_control::fleet_control(io_thread& thread, shared_parts& shared, platform_services platform)
    : m_thread(thread), m_shared(shared), m_platform(platform), m_tables(platform.table),
      m_members(shared.self, shared.settings.members),
      m_links(thread, shared.self.id, shared.account.stored_through(),
              [this](instance_id peer) { suspect(peer); }),
      m_socket(thread.io()) {
    try {
        auto const local = to_udp(shared.self.peer_address);
        m_socket.open(local.protocol());
        m_socket.bind(local);
    } catch (boost::system::system_error const& failure) {
        throw connect_failed("receiving on " + to_string(shared.self.peer_address) + ": " +
                             failure.code().message());
    }
}

void fleet_control::start() {
    auto const& settings = m_shared.settings;
    m_thread.spawn([this] { receive_heartbeats(); });
    run_every(settings.list_poll, &fleet_control::read_list);
    run_every(settings.table_poll, &fleet_control::read_tables);
    run_every(settings.members.heartbeat_period, &fleet_control::beat);
    run_every(settings.flush_interval, &fleet_control::flush_account);
    run_every(settings.load_interval, &fleet_control::share_loads);
}

void fleet_control::run_every(std::chrono::milliseconds period, fiber_body body) {
    m_thread.spawn([this, period, body] {
        constexpr auto stop_check = std::chrono::milliseconds(500);
        while (!m_stopping) {
            (this->*body)();
            auto const next = std::chrono::steady_clock::now() + period;
            while (!m_stopping && std::chrono::steady_clock::now() < next) {
                boost::this_fiber::sleep_until(std::min(next, std::chrono::steady_clock::now() + stop_check));
            }
        }
    });
}

void fleet_control::read_list() {
    try {
        m_platform.instances.announce(m_members.self());
        auto const entries = m_platform.instances.read();
        m_members.merge_list(entries, std::chrono::steady_clock::now());
        m_platform_answers = true;
    } catch (error const& failure) {
        m_platform_answers = false;
        log_line(log_level::warning, "instance_list_not_read").field("reason", failure.what()).write();
    }
    publish();
}

void fleet_control::read_tables() {
    try {
        auto const cell = m_platform.table.read("tables/current");
        if (cell.version > m_content->version) {
            adopt(cell.value, "platform");
        }
    } catch (error const& failure) {
        m_shared.counters.add(counter::table_reads_failed);
        log_line(log_level::warning, "tables_not_read").field("reason", failure.what()).write();
        read_tables_from_peer();
    }
}

void fleet_control::read_tables_from_peer() {
    auto candidates = m_members.view();
    std::erase_if(candidates, [&](member_view const& seen) {
        return seen.entry.id == m_shared.self.id || seen.tables_version <= m_content->version;
    });
    std::ranges::sort(candidates, std::ranges::greater(), &member_view::tables_version);
    for (std::size_t i = 0; i < candidates.size() && i < peer_tables_attempts; ++i) {
        auto const wait = m_links.to(candidates[i].entry)->send(tables_request{});
        auto const deadline = std::chrono::steady_clock::now() + peer_tables_timeout;
        if (wait->wait_until(deadline) != peer_result::accepted) {
            continue;
        }
        try {
            adopt(wait->payload(), "peer");
            return;
        } catch (error const& failure) {
            log_line(log_level::warning, "peer_tables_rejected").field("reason", failure.what()).write();
        }
    }
}

void fleet_control::adopt(std::string_view encoded, std::string_view source) {
    auto edit = decode_edit(encoded);
    if (edit.version <= m_content->version) {
        return;
    }
    m_content = std::make_shared<tables>(std::move(edit.content));
    m_encoded_tables = std::string(encoded);
    m_in_force_unix_ms = unix_ms_now();
    m_published.clear();
    m_peer_loads.clear();
    publish();
    m_shared.counters.add(counter::tables_applied);
    log_line(log_level::info, "tables_in_force")
        .field("version", edit.version)
        .field("edit", edit.edit_id)
        .field("source", source)
        .field("milliseconds_since_accepted", m_in_force_unix_ms - edit.accepted_unix_ms)
        .write();
    send_heartbeats(news_rounds);
}

void fleet_control::publish() {
    auto members = m_members.view();
    m_had_peers = m_had_peers || members.size() > 1;
    bool const is_cut_off = m_had_peers && members.size() == 1 && !m_platform_answers;
    if (same_members(members, m_published) && is_cut_off == m_published_cut_off) {
        return;
    }
    if (is_cut_off != m_published_cut_off) {
        log_line(log_level::warning, is_cut_off ? "cut_off" : "no_longer_cut_off").write();
    }
    m_published_cut_off = is_cut_off;
    for (auto const& seen : members) {
        auto const before = std::ranges::find_if(
            m_published, [&](member_view const& known) { return known.entry.id == seen.entry.id; });
        if (before == m_published.end() || before->status != seen.status) {
            log_line(log_level::info, "member_seen")
                .field("instance", format_instance(seen.entry.id))
                .field("zone", seen.entry.zone)
                .field("status", to_string(seen.status))
                .write();
        }
    }
    m_published = members;
    m_shared.fleet.store(next_fleet_state(*m_shared.fleet.load(), m_content, std::move(members), is_cut_off,
                                          m_shared.settings.policy, m_shared.settings.queue_capacity,
                                          steady_now()));
    m_links.retain(living());
}

std::set<instance_id> fleet_control::living() const {
    std::set<instance_id> result;
    for (auto const& seen : m_members.view()) {
        result.insert(seen.entry.id);
    }
    return result;
}

void fleet_control::beat() {
    if (m_members.tick(std::chrono::steady_clock::now())) {
        m_shared.counters.add(counter::pauses_detected);
        log_line(log_level::warning, "pause_detected").write();
    }
    m_shared.claims.with(
        [](claim_window& window) { window.advance(epoch_at(std::chrono::system_clock::now())); });
    send_heartbeats(usual_rounds);
    publish();
}

void fleet_control::send_heartbeats(std::size_t rounds) {
    for (std::size_t round = 0; round < rounds; ++round) {
        auto const bytes = encode(m_members.compose(m_content->version, thread_random()));
        for (auto const& receiver : m_members.choose_receivers(thread_random())) {
            boost::system::error_code ignored;
            m_socket.send_to(asio::buffer(bytes), to_udp(receiver.peer_address), 0, ignored);
            m_shared.counters.add(counter::heartbeats_sent);
            m_shared.counters.add(counter::heartbeat_bytes_sent, bytes.size());
        }
    }
}

void fleet_control::receive_heartbeats() {
    std::array<char, max_datagram_bytes> buffer{};
    while (!m_stopping) {
        boost::system::error_code error;
        asio::ip::udp::endpoint sender;
        auto const size = m_socket.async_receive_from(asio::buffer(buffer), sender, use_fiber(error));
        if (error) {
            continue;
        }
        try {
            auto const message = decode<gossip_message>(std::string_view(buffer.data(), size));
            m_shared.counters.add(counter::heartbeats_received);
            m_shared.counters.add(counter::heartbeat_bytes_received, size);
            m_members.receive(message, std::chrono::steady_clock::now());
            if (message.tables_version > m_content->version) {
                m_thread.spawn([this] { read_tables(); });
            }
            publish();
        } catch (malformed_message const& failure) {
            m_shared.counters.add(counter::datagrams_rejected);
            log_line(log_level::debug, "datagram_rejected").field("reason", failure.what()).write();
        }
    }
}

void fleet_control::flush_account() {
    m_shared.account.flush(m_platform.objects, living(), false);
}

void fleet_control::share_loads() {
    auto const changes = m_shared.load_changes.load();
    bool const renew = m_shared.in_progress.load() > 0 && steady_now() - m_loads_told > load_renewal;
    if (changes == m_shared_changes && !renew) {
        boost::this_fiber::sleep_for(idle_load_interval);
        return;
    }
    m_shared_changes = changes;
    m_loads_told = steady_now();
    auto const fleet = m_shared.fleet.load();
    for (auto const& [name, pool] : fleet->pools) {
        tell_loads(*fleet, name, pool);
    }
}

void fleet_control::tell_loads(fleet_state const& fleet, std::string const& name, pool_runtime const& pool) {
    auto const receivers = load_receivers(fleet, name, pool);
    if (receivers.empty()) {
        return;
    }
    auto const message = describe_loads(fleet, name, pool);
    bool const is_idle = std::ranges::all_of(message.in_flight, [](auto count) { return count == 0; });
    if (!pool.is_home && is_idle && message.leaving.empty()) {
        return;
    }
    for (auto const& receiver : receivers) {
        m_links.to(receiver)->post(message);
    }
}

load_message fleet_control::describe_loads(fleet_state const& fleet, std::string const& name,
                                           pool_runtime const& pool) const {
    load_message message{
        .pool = name, .tables_version = fleet.content->version, .in_flight = {}, .leaving = {}};
    auto const now = steady_now();
    for (std::uint32_t i = 0; i < pool.targets->size(); ++i) {
        message.in_flight.push_back(static_cast<std::uint16_t>(pool.targets->in_flight(i)));
        auto const remaining = pool.targets->announced_leaving(i, now);
        if (remaining > nanoseconds::zero()) {
            auto const milliseconds =
                std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
            message.leaving.push_back({.target = static_cast<std::uint16_t>(i),
                                       .remaining_ms = static_cast<std::uint32_t>(milliseconds)});
        }
    }
    return message;
}

std::vector<instance_entry> fleet_control::load_receivers(fleet_state const& fleet, std::string const& name,
                                                          pool_runtime const& pool) const {
    auto receivers = pool.other_homes;
    auto const known = m_peer_loads.find(name);
    if (known == m_peer_loads.end()) {
        return receivers;
    }
    // Who serves the pool without being its home tells the homes, and is told by them.
    for (auto const teller : known->second.tellers()) {
        auto const* member = fleet.find_member(teller);
        bool const listed =
            std::ranges::any_of(receivers, [&](auto const& entry) { return entry.id == teller; });
        if (member != nullptr && !listed) {
            receivers.push_back(member->entry);
        }
    }
    return receivers;
}

peer_loads& fleet_control::loads_of(std::string const& name, pool_runtime const& pool) {
    return m_peer_loads.try_emplace(name, pool.targets->size()).first->second;
}

void fleet_control::receive_load(instance_id from, load_message const& message) {
    auto const fleet = m_shared.fleet.load();
    auto const* pool = fleet->find_pool(message.pool);
    if (pool == nullptr || message.tables_version != fleet->content->version) {
        return;
    }
    auto const now = steady_now();
    auto& loads = loads_of(message.pool, *pool);
    loads.receive(from, message.in_flight, now);
    loads.expire(now);
    loads.apply(*pool->targets);
    for (auto const& leaving : message.leaving) {
        if (leaving.target < pool->targets->size()) {
            pool->targets->set_leaving(leaving.target, now + std::chrono::milliseconds(leaving.remaining_ms));
        }
    }
    pool->queue->wake_next();
}

peer_reply fleet_control::answer_peer(instance_id from, peer_batch batch) {
    peer_reply reply;
    for (auto& claim : batch.claims) {
        auto const granted = m_shared.claims.with([&](claim_window& window) {
            return window.grant(claim.key, claim.epoch) == claim_reply::granted;
        });
        if (granted && claim.record_sequence != 0) {
            static_cast<void>(
                m_shared.account.keep_copy(from, claim.record_sequence, std::move(claim.record)));
        }
        m_shared.counters.add(counter::claims_given);
        reply.acks.push_back({.sequence = claim.sequence, .accepted = granted});
    }
    for (auto& record : batch.records) {
        bool const kept = m_shared.account.keep_copy(from, record.record_sequence, std::move(record.record));
        if (record.sequence != 0) {
            reply.acks.push_back({.sequence = record.sequence, .accepted = kept});
        }
    }
    for (auto& told : batch.outcomes) {
        m_shared.claims.with(
            [&](claim_window& window) { window.learn(told.key, told.epoch, std::move(told.outcome)); });
    }
    for (auto const& load : batch.loads) {
        receive_load(from, load);
    }
    for (auto const& request : batch.tables) {
        reply.acks.push_back(
            {.sequence = request.sequence, .accepted = m_content->version > 0, .payload = m_encoded_tables});
    }
    m_shared.account.drop_copies(from, batch.stored_through);
    return reply;
}

void fleet_control::suspect(instance_id id) {
    m_members.suspect(id);
    publish();
}

void fleet_control::announce_leaving() {
    m_members.set_leaving();
    publish();
    send_heartbeats(news_rounds);
    read_list();
}

bool fleet_control::finish() {
    bool const stored = m_shared.account.flush(m_platform.objects, living(), true);
    try {
        m_platform.instances.withdraw(m_shared.self.id);
    } catch (error const& failure) {
        log_line(log_level::warning, "not_withdrawn").field("reason", failure.what()).write();
    }
    return stored;
}

void fleet_control::stop() {
    m_stopping = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_links.close_all();
}

std::string fleet_control::status() const {
    nlohmann::json members = nlohmann::json::array();
    for (auto const& seen : m_members.view()) {
        members.push_back({{"id", format_instance(seen.entry.id)},
                           {"zone", seen.entry.zone},
                           {"caller_address", to_string(seen.entry.caller_address)},
                           {"status", to_string(seen.status)}});
    }
    nlohmann::json const document{{"id", format_instance(m_shared.self.id)},
                                  {"zone", m_shared.self.zone},
                                  {"tables_version", m_content->version},
                                  {"in_force_unix_ms", m_in_force_unix_ms},
                                  {"platform_answers", m_platform_answers},
                                  {"requests_in_progress", m_shared.in_progress.load()},
                                  {"account_records_held", m_shared.account.size()},
                                  {"members", members}};
    return document.dump(2) + "\n";
}

} // namespace pomelospread
