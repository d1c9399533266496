// Keeps an instance's knowledge of tables, targets and members: from the platform where it answers, from
// other instances where they know more.
#pragma once

#include "coordination/fleet_store.hpp"
#include "coordination/membership.hpp"
#include "coordination/read_schedule.hpp"
#include "coordination/target_list.hpp"
#include "gateway/fleet_messages.hpp"
#include "gateway/fleet_socket.hpp"
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

/// Lives on one thread; every method but the constructor is called from its fibers.
class fleet_sync {
public:
    fleet_sync(io_thread& thread, forwarding_state& state, target_client& targets, fleet_store& store,
               instance_entry self);
    ~fleet_sync();

    void start();
    /// Tells every member that this instance leaves, and the platform's list.
    void announce_leaving();
    void stop();

    /// Tables and targets are known.
    [[nodiscard]] bool is_ready() const;
    /// The instances that callers of a zone are to use for a host.
    [[nodiscard]] std::vector<endpoint> addresses_for(address_query const& query) const;
    [[nodiscard]] std::string status() const;

private:
    void follow_tables();
    void follow_targets();
    void follow_members();
    void gossip();
    void tell_loads();
    void take(fleet_datagram const& message, std::string const& sender_ip);
    void take_list_note(list_note const& note, endpoint const& sender);
    /// Fetches what `peer` knows after a short pause, when it is still needed then.
    void fetch_later(endpoint const& peer, std::function<bool()> is_behind);
    /// Asks a peer for everything it knows. Returns whether it answered.
    bool fetch_snapshot(endpoint const& peer);
    void adopt_tables(tables content, std::string_view source);
    void adopt_targets(std::string_view source);
    void tell_list(std::vector<list_note> notes);
    void send_to_all(fleet_datagram const& message);
    [[nodiscard]] list_note current_note() const;
    [[nodiscard]] http_response answer_peer(http_request const& request) const;
    [[nodiscard]] std::vector<list_reader> live_members() const;
    void note_store(bool answered, std::string_view what, std::string_view reason);

    io_thread& m_thread;
    forwarding_state& m_state;
    target_client& m_target_client;
    fleet_store& m_store;
    membership m_members;
    target_list m_list;
    read_schedule m_schedule;
    fleet_socket m_socket;
    http_server m_peer_server;
    connection_cache m_peer_connections;
    home_directory m_homes;
    load_exchange m_loads;
    std::uint64_t m_tables_store_version = 0;
    bool m_tables_read = false; ///< From the platform, in this process's life.
    bool m_store_answers = true;
    bool m_fetching = false;
    bool m_fetch_waits = false;
    bool m_stopping = false;
};

} // namespace pomelospread
