#include "gateway/fleet_synchronizer.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "gateway/target_list_updates.hpp"
#include "gateway/target_notices.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/fiber/operations.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

/// Bounds the clocks that peers state, so that computing with them cannot overflow.
constexpr std::uint64_t max_sent_ms = std::uint64_t{1} << 52U;

/// How long the platform may hold a request for newer tables. One that got lost delays no change for so long,
/// since each read of the target list shows whether the tables may have changed.
constexpr auto tables_poll_timeout = milliseconds(20000);
/// A long poll that has not returned so long after newer tables became known some other way was lost.
constexpr auto max_poll_lag = milliseconds(1000);
/// Delay after applying tables, so that a burst of changes is read in a few steps. It is a small part of the
/// time within which a change must be in force.
constexpr auto table_change_delay = milliseconds(150);
constexpr auto failure_retry_delay = milliseconds(900);
constexpr auto first_failure_retry_delay = milliseconds(250);
/// A platform that drops its history continues to do so for a while; until it stops, the complete tables are
/// read at this interval.
constexpr auto history_lost_delay = milliseconds(500);
constexpr auto registration_retry_delay = milliseconds(1500);
/// In a new era of the platform's store, all instances write again what it may have lost, spread over this
/// time.
constexpr auto rewrite_spread = milliseconds(2000);
/// Added for each member, since the platform takes the registrations one after the other.
constexpr auto rewrite_spread_per_member = milliseconds(20);
/// An instance that does not watch the tables asks the platform itself after this silence.
constexpr auto max_tables_silence = milliseconds(1500);
/// Such instances, and those that have no target list yet, spread their polls over this time.
constexpr auto poll_spread = milliseconds(700);
/// Longer than the retry delay of a watcher, whose success they are told of.
constexpr auto non_watcher_retry_delay = milliseconds(2500);
/// In a fleet that starts as a whole, the registrations are spread over this time, since the platform takes
/// them one after the other.
constexpr auto first_start_spread = milliseconds(2000);
/// When the platform has not answered by then, a starting instance asks the seeds.
constexpr auto seed_fetch_delay = milliseconds(300);
constexpr auto join_check_interval = milliseconds(20);
/// Collects the updates of one change before they are put in force.
constexpr auto apply_delay = milliseconds(5);
/// Delay before tables or a target list are fetched from a peer: the platform's response or the remaining
/// updates of a change often arrive in the meantime.
constexpr auto snapshot_fetch_delay = milliseconds(60);
/// Added for each member of the zone, since all of them fetch from the same relays.
constexpr auto snapshot_fetch_spread = milliseconds(2);
/// How long a change that another zone announced may take to be announced by a relay of the own zone.
constexpr auto relay_wait = milliseconds(300);
constexpr std::size_t max_addresses = 64;
/// An instance that the store does not answer takes the peers that it knows then for the fleet.
constexpr auto fleet_discovery_time = std::chrono::seconds(15);
/// Peers that an instance asks for the division of the rates while it knows none.
constexpr std::size_t max_asked_for_division = 2;
/// An account segment that another instance submits.
constexpr std::size_t max_object_bytes = std::size_t{8} * 1024 * 1024;

milliseconds random_up_to(milliseconds limit) {
    return milliseconds(thread_random()() % static_cast<std::uint64_t>(limit.count() + 1));
}

milliseconds jittered(milliseconds base) {
    return base + random_up_to(base / 2);
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
      m_registration(
          thread, store.members(), m_membership,
          {.members_changed = [this] { handle_members_read(); },
           .greet = [this](endpoint const& receiver) { send_heartbeat(receiver); },
           .record_failure =
               [this](std::string_view reason) { record_store_availability(false, "members", reason); }}),
      m_socket(thread.io(), state.settings.peer_address, state.counters,
               [this](endpoint const& receiver) { return m_plan.is_in_own_zone(receiver); }),
      m_peer_server(thread, state.settings.peer_address, http_limits{.max_body_bytes = max_object_bytes},
                    [this](http_request& request) { return handle_peer_request(request); }),
      m_peer_connections(thread.io(), 1, std::chrono::seconds(5)),
      m_snapshots(m_peer_connections, state.settings.zone, state.counters,
                  [this](snapshot_request const& request) { return make_snapshot(request); }),
      m_recent_objects(store.objects()), m_object_collector(thread, m_recent_objects, m_membership.self().id),
      m_objects(m_recent_objects, m_object_collector, m_peer_connections, m_plan),
      m_homes(state.settings.homes),
      m_load_exchange(
          state, m_homes,
          [this](fleet_datagram const& message, endpoint const& to) { m_socket.send(message, to); }),
      m_rate_divider(
          thread, store.rate_divisions(), m_peer_connections, state.settings.peer_address,
          {.fleet = [this] { return known_fleet(); },
           .demand = [this] { return demand_for_parts(); },
           .part_changed =
               [this](rate_part part, boot_clock::time_point valid_until, std::vector<endpoint> holders) {
                   m_state.set_part(part, valid_until, std::move(holders));
               },
           .record_store_call =
               [this](bool is_available, std::string_view reason) {
                   record_store_availability(is_available, "rates", reason);
               }}) {
    m_state.rates.set_sender(
        [this](fleet_datagram const& message, endpoint const& to) { m_socket.send(message, to); });
    m_store.set_era_observer([this](std::uint64_t era) { learn_store_era(era, "store"); });
}

fleet_synchronizer::~fleet_synchronizer() = default;

void fleet_synchronizer::start() {
    m_peer_server.start();
    m_thread.spawn([this] {
        m_socket.receive(
            [this](auto const& message, auto const& sender) { handle_datagram(message, sender); });
    });
    m_started_at = clock::now();
    refresh_plan();
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
    if (answered) {
        handle_store_answer(clock::now());
    } else {
        m_store_failed_at = clock::now();
    }
    if (answered == m_is_store_available) {
        return;
    }
    m_is_store_available = answered;
    log_line(answered ? log_level::info : log_level::warning, answered ? "store_regained" : "store_lost")
        .field("call", call)
        .field("reason", reason)
        .write();
}

void fleet_synchronizer::learn_store_era(std::uint64_t era, std::string_view source) {
    if (era <= m_store_era) {
        return;
    }
    log_line(log_level::info, "store_era_changed")
        .field("before", m_store_era)
        .field("after", era)
        .field("source", source)
        .write();
    auto const before = std::exchange(m_store_era, era);
    m_store_era_learned_at = clock::now();
    m_tables_confirmed_at = {};
    if (m_is_table_poll_open) {
        m_store.cancel_wait_for_newer_tables();
    }
    m_store_era_learned.notify_all();
    if (before > 0) {
        m_thread.spawn([this] {
            boost::this_fiber::sleep_for(random_up_to(std::max(
                rewrite_spread, rewrite_spread_per_member * static_cast<int>(m_membership.view().size()))));
            register_again();
            m_recent_objects.store_again();
        });
    }
}

void fleet_synchronizer::register_again() {
    auto const era = m_store_era;
    while (!m_stopping && !m_membership.self().leaving && era == m_store_era &&
           clock::now() - m_registration.written_at() < recent_object_limits{}.window) {
        try {
            m_registration.write_row();
            log_line(log_level::info, "registered_again").field("era", era).write();
            return;
        } catch (std::exception const& failure) {
            record_store_availability(false, "members", failure.what());
            boost::this_fiber::sleep_for(jittered(registration_retry_delay));
        }
    }
}

void fleet_synchronizer::sleep_until_newer_era(milliseconds duration) {
    std::unique_lock lock(m_store_era_mutex);
    m_store_era_learned.wait_for(lock, duration, [this, era = m_store_era] { return m_store_era != era; });
}

// Routing tables

tables_state fleet_synchronizer::current_tables_state() const {
    return {.tables = m_tables,
            .store_era = m_store_era,
            .confirmed_age_ms = age_ms(m_tables_confirmed_at, clock::now())};
}

void fleet_synchronizer::wait_until_joined() {
    while (!m_stopping && m_joined_at == clock::time_point{}) {
        boost::this_fiber::sleep_for(join_check_interval);
    }
}

void fleet_synchronizer::watch_tables() {
    std::uint32_t failures = 0;
    auto const max_silence = max_tables_silence + random_up_to(poll_spread);
    wait_until_joined();
    while (!m_stopping) {
        auto const due = std::max({m_tables_confirmed_at, m_joined_at, m_store_era_learned_at}) + max_silence;
        if (auto const now = clock::now(); !m_plan.watches_tables() && now < due) {
            boost::this_fiber::sleep_until(std::min(due, now + max_tables_silence / 4));
            continue;
        }
        if (is_tables_position_outdated()) {
            m_tables_position.reset();
        }
        try {
            auto const is_new =
                accept_tables(m_tables_position ? wait_for_newer_tables() : m_store.read_tables());
            failures = 0;
            if (is_new) {
                boost::this_fiber::sleep_for(table_change_delay);
            }
        } catch (history_lost const& failure) {
            if (forget_tables_position(failure)) {
                sleep_until_newer_era(jittered(history_lost_delay));
            }
        } catch (std::exception const& failure) {
            bool const was_waiting = std::exchange(m_is_table_poll_open, false);
            if (is_tables_position_outdated() || (was_waiting && m_is_table_poll_lost)) {
                continue;
            }
            m_state.counters.add(counter::table_reads_failed);
            record_store_availability(false, "tables", failure.what());
            if (was_waiting && failures == 0) {
                // The connection may have been silent for seconds, during which changes were missed.
                ++failures;
                continue;
            }
            auto const delay = m_plan.watches_tables() ? failure_retry_delay : non_watcher_retry_delay;
            sleep_until_newer_era(jittered(failures++ <= 1 ? first_failure_retry_delay : delay));
        }
    }
}

tables_snapshot fleet_synchronizer::wait_for_newer_tables() {
    m_is_table_poll_open = true;
    m_is_table_poll_lost = false;
    m_table_poll_opened_at = clock::now();
    auto result = m_store.wait_for_newer_tables(*m_tables_position, tables_poll_timeout);
    m_is_table_poll_open = false;
    return result;
}

bool fleet_synchronizer::accept_tables(tables_snapshot result) {
    if (result.position.era < m_store_era) {
        throw platform_unavailable("the response is of the store's era " +
                                   std::to_string(result.position.era) + ", which has ended");
    }
    record_store_availability(true, "tables", "");
    if (is_tables_position_outdated()) {
        return false; // A page of another era does not continue from the position.
    }
    m_tables_confirmed_at = clock::now();
    m_tables_position = m_tables_position ? std::max(*m_tables_position, result.position) : result.position;
    if (result.content) {
        apply_tables(std::move(*result.content), result.position.era, "store");
    }
    if (result.is_complete ? m_evacuations.apply_complete_read(result.evacuations, result.position)
                           : m_evacuations.merge(result.evacuations)) {
        apply_evacuations("store");
        send_evacuations(m_plan.receivers());
    }
    return result.content.has_value();
}

bool fleet_synchronizer::forget_tables_position(history_lost const& failure) {
    m_is_table_poll_open = false;
    log_line(log_level::info, "tables_history_lost")
        .field("era", m_store_era)
        .field("reason", failure.what())
        .write();
    if (is_tables_position_outdated()) {
        return false;
    }
    m_tables_position.reset();
    return true;
}

void fleet_synchronizer::confirm_tables(store_version newest, clock::time_point read_at) {
    if (!m_tables_position || is_tables_position_outdated()) {
        return; // The complete tables are about to be read.
    }
    if (newest <= *m_tables_position) {
        m_tables_confirmed_at = std::max(m_tables_confirmed_at, read_at);
        return;
    }
    m_thread.spawn([this] { check_tables(); });
}

void fleet_synchronizer::check_tables() {
    if (m_is_checking_tables || !m_tables_position) {
        return;
    }
    m_is_checking_tables = true;
    try {
        static_cast<void>(accept_tables(m_store.read_newer_tables(*m_tables_position)));
    } catch (history_lost const&) {
        // The complete tables are read in place of the changes.
        reopen_table_poll("the store dropped the history");
    } catch (std::exception const& failure) {
        m_state.counters.add(counter::table_reads_failed);
        record_store_availability(false, "tables", failure.what());
    }
    m_is_checking_tables = false;
}

void fleet_synchronizer::handle_store_answer(clock::time_point answered_at) {
    // A store that was silent may never answer the calls that it received then.
    if (m_table_poll_opened_at <= m_store_failed_at && m_store_failed_at < answered_at) {
        reopen_table_poll("the store answers again");
    }
}

void fleet_synchronizer::reopen_table_poll(std::string_view reason) {
    if (!m_is_table_poll_open || m_is_table_poll_lost) {
        return;
    }
    m_is_table_poll_lost = true;
    log_line(log_level::info, "tables_poll_reopened")
        .field("reason", reason)
        .field("open_ms", static_cast<std::uint64_t>(age_ms(m_table_poll_opened_at, clock::now())))
        .write();
    m_store.cancel_wait_for_newer_tables();
}

void fleet_synchronizer::expect_table_poll_to_return() {
    if (!m_is_table_poll_open) {
        return;
    }
    m_thread.spawn([this, opened_at = m_table_poll_opened_at] {
        boost::this_fiber::sleep_for(max_poll_lag);
        if (m_table_poll_opened_at == opened_at) {
            reopen_table_poll("newer tables are known");
        }
    });
}

bool fleet_synchronizer::is_tables_position_outdated() const {
    return m_tables_position && m_tables_position->era < m_store_era;
}

void fleet_synchronizer::handle_tables_state(tables_state const& state, endpoint const& sender,
                                             clock::time_point sent_at) {
    learn_store_era(state.store_era, "peer");
    if (state.tables.supersedes(m_tables)) {
        schedule_snapshot_fetch(sender,
                                [this, announced = state.tables] { return announced.supersedes(m_tables); });
    } else if (state.tables.has_same_content(m_tables)) {
        m_tables.era = std::max(m_tables.era, state.tables.era);
        if (state.store_era == m_store_era) {
            m_tables_confirmed_at =
                std::max(m_tables_confirmed_at, sent_at - milliseconds(state.confirmed_age_ms));
        }
    }
}

void fleet_synchronizer::apply_tables(routing_tables content, std::uint64_t era, std::string_view source) {
    tables_identity const offered{.version = content.version, .era = era, .digest = tables_digest(content)};
    if (offered.has_same_content(m_tables)) {
        m_tables.era = std::max(m_tables.era, era);
        return;
    }
    bool const is_newer = offered.supersedes(m_tables);
    log_line(log_level::info, is_newer ? "tables_applied" : "tables_not_applied")
        .field("version", offered.version)
        .field("era", offered.era)
        .field("before", m_tables.version)
        .field("era_before", m_tables.era)
        .field("routes", static_cast<std::uint64_t>(content.routes.size()))
        .field("source", source)
        .write();
    if (!is_newer) {
        return;
    }
    m_tables = offered;
    expect_table_poll_to_return();
    m_state.counters.add(counter::tables_applied);
    for (auto const& pool : content.pools) {
        m_state.selector.set_warm_up(pool.name, pool.warm_up_requests_per_second, pool.warm_up_time);
    }
    m_state.rates.set_limits(content);
    m_rate_divider.start_if_needed();
    m_state.routes.store(std::make_shared<route_index const>(std::move(content)));
    if (m_plan.is_relay()) {
        m_socket.send_to_all(
            {.kind = datagram_kind::announcement, .has_tables = true, .tables = current_tables_state()},
            m_plan.zone_members());
    }
}

void fleet_synchronizer::apply_evacuations(std::string_view source) {
    std::set<std::string, std::less<>> zones;
    for (auto const& change : m_evacuations.changes()) {
        if (change.is_evacuated) {
            zones.insert(change.zone);
        }
        log_line(log_level::info, "evacuation_applied")
            .field("zone", change.zone)
            .field("evacuated", change.is_evacuated ? "yes" : "no")
            .field("version", change.changed_at.number)
            .field("era", change.changed_at.era)
            .field("source", source)
            .write();
    }
    m_state.selector.set_evacuated_zones(std::move(zones), clock::now());
}

void fleet_synchronizer::send_evacuations(std::span<endpoint const> receivers) {
    m_socket.send_to_all({.kind = datagram_kind::evacuations, .evacuations = m_evacuations.changes()},
                         receivers);
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
    bool asked_peer_first = false;
    bool asked_peer_since_fresh = false;
    auto const first_list_wait = max_tables_silence + random_up_to(poll_spread);
    wait_until_joined();
    while (!m_stopping) {
        auto const rank = list_poll_schedule::poll_rank(
            {.id = m_membership.self().id, .processor_permille = m_membership.self().processor_permille},
            live_members());
        if (m_target_list.has_snapshot()) {
            auto const due = m_target_list.read_at() + m_list_poll_schedule.max_list_age(rank);
            auto const now = clock::now();
            if (now < due) {
                asked_peer_since_fresh = false;
                boost::this_fiber::sleep_until(std::min(due, now + m_list_poll_schedule.max_list_age(0)));
                continue;
            }
            if (m_target_list.is_outdated(now) && !std::exchange(asked_peer_since_fresh, true)) {
                // After a suspension of this instance, its peers know what changed.
                if (auto const peer = choose_snapshot_peer(0)) {
                    fetch_snapshot(*peer, false);
                }
                continue;
            }
        } else if (!m_plan.watches_tables() && clock::now() < m_joined_at + first_list_wait) {
            boost::this_fiber::sleep_for(join_check_interval);
            continue;
        } else if (m_store_era > first_store_era && !std::exchange(asked_peer_first, true)) {
            // The store may have come back from an older copy, whose old rows only a peer tells apart.
            while (m_is_fetching_snapshot) {
                boost::this_fiber::sleep_for(join_check_interval);
            }
            if (auto const peer = choose_snapshot_peer(1); peer && !m_target_list.has_snapshot()) {
                fetch_snapshot(*peer, false);
            }
            continue;
        }
        try {
            auto const asked_at = clock::now();
            auto snapshot = m_store.read_targets();
            if (snapshot.version < m_target_list.current().version) {
                throw platform_unavailable("the list of targets is older than the known one");
            }
            record_store_availability(true, "targets", "");
            confirm_tables(snapshot.version, asked_at);
            auto const now = clock::now();
            auto const previous = m_target_list.current();
            bool const had_snapshot = m_target_list.has_snapshot();
            if (!m_target_list.apply_platform_snapshot(std::move(snapshot), now)) {
                broadcast_target_list_updates({current_target_list_update()}, m_plan.receivers());
                continue;
            }
            apply_targets("store");
            broadcast_target_list_updates(
                had_snapshot ? make_target_list_updates(previous, m_target_list.current(),
                                                        age_ms(m_target_list.read_at(), clock::now()))
                             : std::vector{current_target_list_update()},
                m_plan.receivers());
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

void fleet_synchronizer::broadcast_target_list_updates(std::vector<target_list_update> updates,
                                                       std::vector<endpoint> const& receivers) {
    for (auto& update : updates) {
        m_socket.send_to_all({.kind = datagram_kind::list_update,
                              .has_list_update = true,
                              .list_update = std::move(update),
                              .has_tables = true,
                              .tables = current_tables_state()},
                             receivers);
    }
}

void fleet_synchronizer::schedule_apply_targets() {
    if (m_is_apply_scheduled) {
        return;
    }
    m_is_apply_scheduled = true;
    m_thread.spawn([this] {
        boost::this_fiber::sleep_for(apply_delay);
        m_is_apply_scheduled = false;
        apply_targets("peer");
    });
}

void fleet_synchronizer::apply_targets(std::string_view source) {
    auto const& current = m_target_list.current();
    m_state.selector.set_targets(current.targets, clock::now());
    m_claiming_homes.clear();
    refresh_slot_claims();
    m_target_client.close_idle_connections_unless([&](std::string const& id, endpoint const& address) {
        auto const found = std::ranges::lower_bound(current.targets, id, {}, &listed_target::id);
        return found != current.targets.end() && found->id == id && found->address == address &&
               m_state.selector.is_usable(id);
    });
    auto const leaving = std::ranges::count_if(current.targets, &listed_target::leaving);
    log_line(log_level::info, "targets_applied")
        .field("version", current.version.number)
        .field("era", current.version.era)
        .field("targets", static_cast<std::uint64_t>(current.targets.size()))
        .field("leaving", static_cast<std::int64_t>(leaving))
        .field("source", source)
        .write();
}

bool fleet_synchronizer::handle_target_list_update(target_list_update const& update, endpoint const& sender,
                                                   clock::time_point sent_at) {
    if (update.version == store_version{}) {
        return false;
    }
    learn_store_era(update.version.era, "peer");
    auto const read_at = sent_at - milliseconds(update.list_age_ms);
    auto const previous_read_at = m_target_list.read_at();
    handle_store_answer(read_at);
    if (update.digest == m_target_list.digest()) {
        m_target_list.confirm_unchanged(update.version, update.digest, read_at);
        return m_target_list.read_at() > previous_read_at;
    }
    if (update.version < m_target_list.current().version) {
        return false;
    }
    if (auto next = apply_target_list_update(m_target_list.current(), m_target_list.digest(), update)) {
        // Only the last update of a change has the new version. Until it arrives the list is a mixture, so it
        // keeps the time of the previous list.
        bool const is_complete = next->version > m_target_list.current().version;
        if (m_target_list.apply_peer_snapshot(std::move(*next), is_complete ? read_at : previous_read_at)) {
            schedule_apply_targets();
        }
        return true;
    }
    if (update.version > m_target_list.current().version) {
        schedule_snapshot_fetch(
            sender, [this, version = update.version] { return m_target_list.current().version < version; });
    }
    return false;
}

void fleet_synchronizer::run_load_update_loop() {
    while (!m_stopping) {
        boost::this_fiber::sleep_for(load_exchange::send_interval);
        if (m_load_exchange.has_pending_updates()) {
            m_load_exchange.send_updates(m_membership.view(), m_membership.self().id);
        }
        m_state.rates.send_requests();
    }
}

// Membership

void fleet_synchronizer::refresh_plan() {
    auto const members = m_membership.view();
    m_plan = distribution_plan(m_membership.self(), members,
                               {.max_direct_fleet_size = m_state.settings.max_direct_fleet_size});
    m_homes.refresh(*m_state.routes.load(), members);
    std::set<instance_id> home_ids;
    for (auto const& member : members) {
        if (m_homes.is_home(member.entry.peer_address)) {
            home_ids.insert(member.entry.id);
        }
    }
    m_membership.set_watched(std::move(home_ids));
    m_state.set_homes(knows_fleet(), m_homes.max_homes_per_host());
    refresh_slot_claims();
}

bool fleet_synchronizer::knows_fleet() const {
    return m_registration.has_read_members() || clock::now() - m_started_at >= fleet_discovery_time;
}

part_demand fleet_synchronizer::demand_for_parts() const {
    bool const has_rates = !m_state.rates.empty();
    return {.is_divided = has_rates || m_state.extra_attempts.has_burst(),
            .is_short = m_state.rates.needs_tokens() || m_state.extra_attempts.needs_part(),
            .includes_rates = has_rates};
}

rate_division_fleet fleet_synchronizer::known_fleet() const {
    rate_division_fleet fleet{.homes = m_homes.all_peer_addresses(),
                              .leaving = {},
                              .peers = {},
                              .has_read_members = m_registration.has_read_members()};
    fleet.is_alone = true;
    for (auto const& member : m_membership.view()) {
        if (member.status == member_status::leaving) {
            fleet.leaving.insert(member.entry.peer_address);
        }
        // The part of one that leaves is to be taken over while it can still acknowledge that.
        bool const is_here = member.status == member_status::alive || member.status == member_status::leaving;
        fleet.is_alone = fleet.is_alone && !(is_here && m_membership.is_heard(member.entry.id));
    }
    std::vector<endpoint> peers(fleet.homes.begin(), fleet.homes.end());
    for (auto const& seed : m_state.settings.seed_addresses) {
        peers.push_back({seed, m_state.settings.peer_address.port});
    }
    std::erase(peers, m_state.settings.peer_address);
    std::ranges::sample(peers, std::back_inserter(fleet.peers), max_asked_for_division, thread_random());
    return fleet;
}

void fleet_synchronizer::refresh_slot_claims() {
    for (auto const& pool : m_state.routes.load()->tables().pools) {
        auto const& homes = m_homes.peer_addresses_for_pool(pool.name);
        auto& previous = m_claiming_homes[pool.name];
        if (previous != homes) {
            m_state.selector.set_slot_claims(pool.name, m_membership.self().peer_address, homes);
            m_state.selector.set_home_zones(pool.name, m_homes.homes_by_zone(pool.name));
            previous = homes;
        }
    }
}

fleet_datagram fleet_synchronizer::make_announcement() {
    return {.kind = datagram_kind::announcement,
            .has_members = true,
            .members = m_membership.make_gossip_message(tables_version(), thread_random()),
            .has_list_update = true,
            .list_update = current_target_list_update()};
}

void fleet_synchronizer::join_fleet() {
    auto const& settings = m_state.settings;
    if (settings.is_first_start && settings.processor_permille < settings.homes.min_processor_permille) {
        boost::this_fiber::sleep_for(random_up_to(first_start_spread));
    }
    m_thread.spawn([this] { fetch_first_snapshot(); });
    m_registration.join();
    if (m_stopping) {
        return;
    }
    m_joined_at = clock::now();
    if (auto const relay = m_plan.zone_relay(); relay && !m_plan.watches_tables()) {
        fetch_snapshot(*relay, false);
    }
}

void fleet_synchronizer::handle_members_read() {
    refresh_plan();
    if (!std::exchange(m_is_announced, true)) {
        // Gossip keeps the entry alive afterwards.
        m_socket.send_to_all(make_announcement(), m_plan.receivers());
    }
}

void fleet_synchronizer::send_heartbeat(endpoint const& receiver) {
    m_socket.send({.kind = datagram_kind::heartbeat,
                   .has_members = true,
                   .members = m_membership.make_gossip_message(tables_version(), thread_random())},
                  receiver);
}

void fleet_synchronizer::introduce_sender(fleet_datagram const& message, endpoint const& sender) {
    auto const& entry = message.members.sender;
    bool const was_known = m_membership.is_member(entry.id);
    if (message.kind != datagram_kind::heartbeat || entry.leaving || entry.peer_address != sender ||
        !m_registration.should_introduce(entry.id)) {
        return;
    }
    m_socket.send_to_all(
        {.kind = datagram_kind::announcement, .has_members = true, .members = message.members},
        m_plan.receivers());
    if (!was_known) {
        send_heartbeat(sender);
    }
}

void fleet_synchronizer::fetch_first_snapshot() {
    boost::this_fiber::sleep_for(jittered(seed_fetch_delay));
    if (m_joined_at == clock::time_point{}) {
        m_joined_at = clock::now();
    }
    // The seeds may be reachable while the platform is not.
    for (auto const& seed : m_state.settings.seed_addresses) {
        endpoint const peer{seed, m_state.settings.peer_address.port};
        if (peer != m_state.settings.peer_address && !is_ready() && !m_plan.zone_relay()) {
            fetch_snapshot(peer, true);
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
        std::vector<endpoint> receivers;
        for (auto const& receiver : m_membership.choose_gossip_peers(thread_random())) {
            receivers.push_back(receiver.peer_address);
        }
        m_socket.send_to_all({.kind = datagram_kind::heartbeat,
                              .has_members = true,
                              .members = m_membership.make_gossip_message(tables_version(), thread_random()),
                              .has_list_update = true,
                              .list_update = current_target_list_update(),
                              .has_tables = true,
                              .tables = current_tables_state()},
                             receivers);
        if (!m_evacuations.empty()) {
            send_evacuations(receivers);
        }
        refresh_plan();
        if (!is_ready() && ++unready_rounds % 4 == 0 && !m_is_fetching_snapshot) {
            if (auto const peer = choose_snapshot_peer(unready_rounds / 4)) {
                m_thread.spawn([this, peer = *peer] { fetch_snapshot(peer, true); });
            }
        }
    }
}

std::optional<endpoint> fleet_synchronizer::choose_snapshot_peer(std::uint32_t round) const {
    if (round % 2 == 1 && m_plan.zone_relay()) {
        return m_plan.zone_relay();
    }
    std::vector<endpoint> peers;
    for (auto const& seed : m_state.settings.seed_addresses) {
        peers.push_back({seed, m_state.settings.peer_address.port});
    }
    for (auto const& member : m_membership.view()) {
        peers.push_back(member.entry.peer_address);
    }
    std::erase(peers, m_state.settings.peer_address);
    if (peers.empty()) {
        return std::nullopt;
    }
    return peers[thread_random()() % peers.size()];
}

void fleet_synchronizer::handle_datagram(fleet_datagram const& message, endpoint const& sender) {
    auto const now = clock::now();
    milliseconds const sender_clock(std::min(message.sent_ms, max_sent_ms));
    auto const sent_at = now - m_transit_delays.extra_delay(to_string(sender), sender_clock, now);
    bool const forwards = m_plan.forwards_from(sender);
    if (message.has_members) {
        introduce_sender(message, sender);
        m_membership.apply_gossip(message.members, now);
        if (forwards && message.kind == datagram_kind::announcement) {
            m_socket.send_to_all(
                {.kind = datagram_kind::announcement, .has_members = true, .members = message.members},
                m_plan.zone_members());
        }
    }
    if (message.has_tables) {
        handle_tables_state(message.tables, sender, sent_at);
    }
    if (message.has_list_update && handle_target_list_update(message.list_update, sender, sent_at) &&
        forwards && message.kind == datagram_kind::list_update) {
        auto update = message.list_update;
        update.list_age_ms = age_ms(sent_at - milliseconds(update.list_age_ms), now);
        broadcast_target_list_updates({std::move(update)},
                                      {m_plan.zone_members().begin(), m_plan.zone_members().end()});
    }
    if (!message.load_updates.empty()) {
        m_load_exchange.receive(message.load_updates, sender);
    }
    apply_leaving_updates(m_state, m_target_client, message.leaving_targets, now);
    if (message.kind == datagram_kind::token_transfer) {
        m_state.rates.receive(message.tokens, sender);
    }
    if (m_evacuations.merge(message.evacuations)) {
        apply_evacuations("peer");
        if (m_plan.is_relay()) {
            send_evacuations(m_plan.zone_members());
        }
    }
}

void fleet_synchronizer::schedule_snapshot_fetch(endpoint const& sender, std::function<bool()> is_behind) {
    auto const source = m_plan.fetch_source(sender);
    bool& is_scheduled = source ? m_is_fetch_scheduled : m_is_relay_wait_scheduled;
    if (is_scheduled) {
        return;
    }
    is_scheduled = true;
    auto const spread = snapshot_fetch_spread * static_cast<int>(m_plan.zone_members().size());
    auto const delay = (source ? snapshot_fetch_delay : relay_wait) + random_up_to(spread);
    m_thread.spawn([this, sender, source, &is_scheduled, delay, is_behind = std::move(is_behind)] {
        boost::this_fiber::sleep_for(delay);
        is_scheduled = false;
        if (!is_behind()) {
            return;
        }
        auto const first = source ? *source : m_plan.zone_relay().value_or(sender);
        fetch_snapshot(first, false);
        if (first != sender && is_behind()) {
            fetch_snapshot(sender, false);
        }
    });
}

bool fleet_synchronizer::fetch_snapshot(endpoint const& peer, bool with_members) {
    if (m_is_fetching_snapshot || m_stopping) {
        return false;
    }
    m_is_fetching_snapshot = true;
    bool succeeded = false;
    try {
        auto const started = clock::now();
        auto snapshot = m_snapshots.fetch(peer, {.tables = m_tables,
                                                 .target_list_version = m_target_list.current().version,
                                                 .with_members = with_members,
                                                 .zone = m_state.settings.zone});
        if (!snapshot.members.empty()) {
            m_membership.merge_platform_list(snapshot.members, clock::now());
        }
        if (snapshot.current_tables.version > 0) {
            learn_store_era(snapshot.tables_era, "peer");
            apply_tables(std::move(snapshot.current_tables), snapshot.tables_era, "peer");
        }
        if (m_evacuations.merge(snapshot.evacuations)) {
            apply_evacuations("peer");
        }
        auto const previous = m_target_list.current();
        learn_store_era(snapshot.target_list_version.era, "peer");
        if (snapshot.target_list_version != store_version{} &&
            m_target_list.apply_peer_snapshot({.version = snapshot.target_list_version,
                                               .targets = std::move(snapshot.targets),
                                               .retained_ids = std::move(snapshot.retained_target_ids)},
                                              started - milliseconds(snapshot.target_list_age_ms))) {
            apply_targets("peer");
            if (m_plan.forwards_from(peer)) {
                broadcast_target_list_updates(
                    make_target_list_updates(previous, m_target_list.current(),
                                             age_ms(m_target_list.read_at(), clock::now())),
                    {m_plan.zone_members().begin(), m_plan.zone_members().end()});
            }
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

http_response fleet_synchronizer::handle_peer_request(http_request& request) {
    std::string_view const target(request.target().data(), request.target().size());
    auto const path = target.substr(0, target.find('?'));
    if (path == snapshot_exchange::path) {
        return m_snapshots.handle(request);
    }
    if (path == rate_divider::path) {
        return m_rate_divider.handle(request);
    }
    if (path == fleet_object_store::path) {
        return m_objects.handle(request);
    }
    return make_response(404, "text/plain", "");
}

peer_snapshot fleet_synchronizer::make_snapshot(snapshot_request const& request) const {
    peer_snapshot snapshot{.evacuations = m_evacuations.changes()};
    if (m_tables.supersedes(request.tables)) {
        snapshot.current_tables = m_state.routes.load()->tables();
        snapshot.tables_era = m_tables.era;
    }
    if (m_target_list.current().version > request.target_list_version) {
        snapshot.target_list_version = m_target_list.current().version;
        snapshot.target_list_age_ms = age_ms(m_target_list.read_at(), clock::now());
        snapshot.targets = m_target_list.current().targets;
        snapshot.retained_target_ids = m_target_list.current().retained_ids;
    }
    if (request.with_members) {
        for (auto const& member : m_membership.view()) {
            snapshot.members.push_back(member.entry);
        }
    }
    return snapshot;
}

std::vector<endpoint> fleet_synchronizer::addresses_for(address_query const& query) const {
    return m_homes.addresses_for(*m_state.routes.load(), m_membership.view(), query.host, query.zone,
                                 max_addresses);
}

void fleet_synchronizer::announce_leaving() {
    m_rate_divider.resign();
    m_membership.set_leaving();
    m_socket.send_to_all(make_announcement(), m_plan.receivers());
    m_thread.spawn([this] {
        try {
            m_registration.remove_row();
        } catch (std::exception const& failure) {
            log_line(log_level::warning, "withdraw_failed").field("reason", failure.what()).write();
        }
    });
}

void fleet_synchronizer::stop() {
    m_stopping = true;
    m_registration.stop();
    m_rate_divider.stop();
    log_fleet_bytes();
    m_socket.close();
    m_peer_server.stop_listening();
}

void fleet_synchronizer::log_fleet_bytes() const {
    auto const& counters = m_state.counters;
    log_line(log_level::info, "fleet_bytes")
        .field("heartbeat_bytes_own_zone", counters.value(counter::heartbeat_bytes_own_zone))
        .field("heartbeat_bytes_other_zones", counters.value(counter::heartbeat_bytes_other_zones))
        .field("announcement_bytes_own_zone", counters.value(counter::announcement_bytes_own_zone))
        .field("announcement_bytes_other_zones", counters.value(counter::announcement_bytes_other_zones))
        .field("list_update_bytes_own_zone", counters.value(counter::list_update_bytes_own_zone))
        .field("list_update_bytes_other_zones", counters.value(counter::list_update_bytes_other_zones))
        .field("load_update_bytes_own_zone", counters.value(counter::load_update_bytes_own_zone))
        .field("load_update_bytes_other_zones", counters.value(counter::load_update_bytes_other_zones))
        .field("token_bytes_own_zone", counters.value(counter::token_bytes_own_zone))
        .field("token_bytes_other_zones", counters.value(counter::token_bytes_other_zones))
        .field("snapshot_bytes_own_zone", counters.value(counter::snapshot_bytes_own_zone))
        .field("snapshot_bytes_other_zones", counters.value(counter::snapshot_bytes_other_zones))
        .write();
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
                          {"targets_version", m_target_list.current().version.number},
                          {"targets", m_target_list.current().targets.size()},
                          {"targets_age_ms", age_ms(m_target_list.read_at(), clock::now())},
                          {"store_answers", m_is_store_available},
                          {"store_era", m_store_era},
                          {"rate_division",
                           {{"version", m_rate_divider.division().version.number},
                            {"holders", m_rate_divider.division().holders.size()},
                            {"settled", m_rate_divider.division().is_settled()},
                            {"holds_part", m_rate_divider.part().is_held}}},
                          {"members", members}}
               .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

} // namespace pomelospread
