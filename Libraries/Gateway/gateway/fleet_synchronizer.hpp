// Keeps an instance's routing tables, target list and membership up to date: from the platform while it is
// reachable, and from other instances that have newer versions.
#pragma once

#include "coordination/distribution_plan.hpp"
#include "coordination/list_poll_schedule.hpp"
#include "coordination/membership.hpp"
#include "coordination/platform_store.hpp"
#include "coordination/target_list_cache.hpp"
#include "coordination/transit_delay_estimator.hpp"
#include "gateway/fleet_datagram_socket.hpp"
#include "gateway/fleet_messages.hpp"
#include "gateway/fleet_object_store.hpp"
#include "gateway/fleet_registration.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/object_collector.hpp"
#include "gateway/rate_divider.hpp"
#include "gateway/recent_object_store.hpp"
#include "gateway/snapshot_exchange.hpp"
#include "gateway/target_client.hpp"
#include "protocol/http_connection.hpp"
#include "protocol/http_server.hpp"
#include "transport/io_thread.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pomelospread {

/// Runs on one thread; every method except the constructor is called from fibers of that thread.
class fleet_synchronizer {
public:
    using clock = std::chrono::steady_clock;

    fleet_synchronizer(io_thread& thread, forwarding_state& state, target_client& targets,
                       platform_store& store, instance_entry self);
    ~fleet_synchronizer();

    void start();
    /// Announces to all members that this instance is leaving, and deregisters it at the platform.
    void announce_leaving();
    void stop();

    /// Whether this instance has routing tables and a target list.
    [[nodiscard]] bool is_ready() const;
    /// The addresses of the instances that callers in the query's zone use for its host.
    [[nodiscard]] std::vector<endpoint> addresses_for(address_query const& query) const;
    [[nodiscard]] std::string status_json() const;
    /// The object store, through the collector of the zone.
    [[nodiscard]] object_store& objects() noexcept { return m_objects; }

private:
    void watch_tables();
    /// Holds a long poll at the platform. Throws what `platform_store::wait_for_newer_tables` throws.
    [[nodiscard]] tables_snapshot wait_for_newer_tables();
    /// Applies what a read of the tables returned. Returns whether it contained tables. Throws
    /// `platform_unavailable` when it belongs to an era that has ended.
    bool accept_tables(tables_snapshot result);
    /// The complete tables are to be read. Returns false when they are of an era that has ended.
    bool forget_tables_position(history_lost const& failure);
    /// A read of the platform's store at `read_at` returned its newest version. Tables that were read up to
    /// that version are current; otherwise their changes are read. An open long poll shows neither.
    void confirm_tables(store_version newest, clock::time_point read_at);
    /// Reads the tables' changes without waiting.
    void check_tables();
    /// The platform's store answered a call of some instance.
    void handle_store_answer(clock::time_point answered_at);
    /// Ends the open long poll, which may be lost, and starts another.
    void reopen_table_poll(std::string_view reason);
    /// Newer tables became known, which an open long poll must return.
    void expect_table_poll_to_return();
    /// Writes this instance's entry again if the platform's store may have lost it.
    void register_again();
    /// Sleeps for `duration`, or until a newer era of the platform's store is known.
    void sleep_until_newer_era(std::chrono::milliseconds duration);
    void poll_targets();
    void join_fleet();
    /// The platform's list was merged into the members.
    void handle_members_read();
    /// A heartbeat to one instance, which may not know this one.
    void send_heartbeat(endpoint const& receiver);
    /// Tells the others of an instance that this one hears and they may not know.
    void introduce_sender(fleet_datagram const& message, endpoint const& sender);
    void fetch_first_snapshot();
    void run_gossip_loop();
    void run_load_update_loop();
    void wait_until_joined();
    /// Recomputes what follows from the members: the paths of changes, the homes, the budgets.
    void refresh_plan();
    /// Whether the members are likely to be the whole fleet, so that this instance knows its share of what
    /// the fleet divides.
    [[nodiscard]] bool knows_fleet() const;
    [[nodiscard]] part_demand demand_for_parts() const;
    /// What the division of the fleet's rates and bursts depends on.
    [[nodiscard]] rate_division_fleet known_fleet() const;
    /// Recomputes the order in which homes use the targets' last slots where homes or targets changed.
    void refresh_slot_claims();
    /// Whom to ask while this instance is not ready: in turn a relay of its zone and anybody.
    [[nodiscard]] std::optional<endpoint> choose_snapshot_peer(std::uint32_t round) const;
    void log_fleet_bytes() const;
    void handle_datagram(fleet_datagram const& message, endpoint const& sender);
    /// Returns whether the list is newer or more recently read than before.
    bool handle_target_list_update(target_list_update const& update, endpoint const& sender,
                                   clock::time_point sent_at);
    void handle_tables_state(tables_state const& state, endpoint const& sender, clock::time_point sent_at);
    /// Fetches the snapshot of `sender`, or of a relay of this zone, if `is_behind` returns true after a
    /// short delay. Does nothing while another such fetch is scheduled.
    void schedule_snapshot_fetch(endpoint const& sender, std::function<bool()> is_behind);
    /// Fetches a peer's snapshot and applies what is newer than here. Returns whether the fetch succeeded.
    bool fetch_snapshot(endpoint const& peer, bool with_members);
    /// Applies tables that the platform's store held in `era`, unless those in force are as new.
    void apply_tables(routing_tables content, std::uint64_t era, std::string_view source);
    void apply_targets(std::string_view source);
    void schedule_apply_targets();
    /// Puts the evacuations in force that are known now.
    void apply_evacuations(std::string_view source);
    void send_evacuations(std::span<endpoint const> receivers);
    void broadcast_target_list_updates(std::vector<target_list_update> updates,
                                       std::vector<endpoint> const& receivers);
    [[nodiscard]] fleet_datagram make_announcement();
    [[nodiscard]] target_list_update current_target_list_update() const;
    [[nodiscard]] tables_state current_tables_state() const;
    /// Whether the position belongs to an era that has ended, so that nothing can be read on from it.
    [[nodiscard]] bool is_tables_position_outdated() const;
    [[nodiscard]] std::uint64_t tables_version() const { return m_tables.version; }
    [[nodiscard]] http_response handle_peer_request(http_request& request);
    [[nodiscard]] peer_snapshot make_snapshot(snapshot_request const& request) const;
    [[nodiscard]] std::vector<poll_candidate> live_members() const;
    /// Records the era of the platform's store if it is newer than every era known before, and ends what
    /// waits in an older one.
    void learn_store_era(std::uint64_t era, std::string_view source);
    void record_store_availability(bool is_available, std::string_view call, std::string_view reason);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_target_client;
    platform_store& m_store;
    membership m_membership;
    fleet_registration m_registration;
    target_list_cache m_target_list;
    zone_evacuations m_evacuations;
    list_poll_schedule m_list_poll_schedule;
    distribution_plan m_plan;
    transit_delay_estimator m_transit_delays;
    fleet_datagram_socket m_socket;
    http_server m_peer_server;
    connection_cache m_peer_connections;
    snapshot_exchange m_snapshots;
    recent_object_store m_recent_objects;
    object_collector m_object_collector;
    fleet_object_store m_objects;
    home_directory m_homes;
    load_exchange m_load_exchange;
    rate_divider m_rate_divider;
    std::uint64_t m_store_era = 0; ///< The newest one known.
    tables_identity m_tables;      ///< Those in force.
    /// Where the tables are to be read on; nothing before the first read and when that history is lost.
    std::optional<store_version> m_tables_position;
    std::map<std::string, std::set<endpoint>> m_claiming_homes; ///< By pool, of the last refresh.
    bool m_is_store_available = true;
    bool m_is_table_poll_open = false; ///< A long poll of this instance was sent to the platform.
    bool m_is_table_poll_lost = false; ///< It was ended, since no response is expected any more.
    bool m_is_checking_tables = false;
    clock::time_point m_table_poll_opened_at{};
    clock::time_point m_store_failed_at{}; ///< The last failure of a call of this instance.
    /// When some instance last got a response that showed no newer tables, in the newest era known.
    clock::time_point m_tables_confirmed_at{};
    clock::time_point m_store_era_learned_at{};
    boost::fibers::mutex m_store_era_mutex;
    boost::fibers::condition_variable m_store_era_learned;
    clock::time_point m_started_at{};
    clock::time_point m_joined_at{}; ///< The first attempt to join the fleet has ended.
    bool m_is_announced = false;     ///< To the members that the list named first.
    bool m_is_fetching_snapshot = false;
    bool m_is_fetch_scheduled = false;
    bool m_is_relay_wait_scheduled = false;
    bool m_is_apply_scheduled = false;
    bool m_stopping = false;
};

} // namespace pomelospread
