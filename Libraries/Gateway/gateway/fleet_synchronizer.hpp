// Keeps an instance's routing tables, target list and membership up to date: from the platform while it is
// reachable, and from other instances that have newer versions.
#pragma once

#include "coordination/list_poll_schedule.hpp"
#include "coordination/membership.hpp"
#include "coordination/platform_store.hpp"
#include "coordination/target_list_cache.hpp"
#include "gateway/fleet_datagram_socket.hpp"
#include "gateway/fleet_messages.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/target_client.hpp"
#include "protocol/http_connection.hpp"
#include "protocol/http_server.hpp"
#include "transport/io_thread.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace pomelospread {

/// Runs on one thread; every method except the constructor is called from fibers of that thread.
class fleet_synchronizer {
public:
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

private:
    void watch_tables();
    void poll_targets();
    void join_fleet();
    void run_gossip_loop();
    void run_load_update_loop();
    void handle_datagram(fleet_datagram const& message, std::string const& sender_ip);
    void handle_target_list_update(target_list_update const& update, endpoint const& sender);
    /// After a short delay, fetches the snapshot of `peer` if `is_behind` returns true then. Does nothing
    /// while another fetch is scheduled.
    void schedule_snapshot_fetch(endpoint const& peer, std::function<bool()> is_behind);
    /// Fetches a peer's snapshot and applies what is newer than here. Returns whether the fetch succeeded.
    bool fetch_snapshot(endpoint const& peer);
    void apply_tables(routing_tables content, std::string_view source);
    void apply_targets(std::string_view source);
    void broadcast_target_list_updates(std::vector<target_list_update> updates);
    void broadcast(fleet_datagram const& message);
    [[nodiscard]] target_list_update current_target_list_update() const;
    [[nodiscard]] http_response handle_peer_request(http_request const& request) const;
    [[nodiscard]] std::vector<poll_candidate> live_members() const;
    void record_store_availability(bool is_available, std::string_view call, std::string_view reason);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_target_client;
    platform_store& m_store;
    membership m_membership;
    target_list_cache m_target_list;
    list_poll_schedule m_list_poll_schedule;
    fleet_datagram_socket m_socket;
    http_server m_peer_server;
    connection_cache m_peer_connections;
    home_directory m_homes;
    load_exchange m_load_exchange;
    std::uint64_t m_tables_store_version = 0;
    bool m_has_read_tables = false; ///< From the platform, since the start or the last `history_lost`.
    bool m_is_store_available = true;
    bool m_is_fetching_snapshot = false;
    bool m_is_fetch_scheduled = false;
    bool m_stopping = false;
};

} // namespace pomelospread
