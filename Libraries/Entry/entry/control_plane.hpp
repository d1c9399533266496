// Maintains one instance's view of the fleet on the control thread: the current tables, the members and the
// in-flight counts of other instances.
#pragma once

#include "coordination/membership.hpp"
#include "coordination/peer_loads.hpp"
#include "coordination/table_store.hpp"
#include "entry/shared_state.hpp"
#include "protocol/peer_link.hpp"
#include "transport/io_thread.hpp"

#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <functional>
#include <memory>

namespace pomelospread {

/// The platform's services that an instance uses.
struct platform_services {
    table_service& table;
    object_store& objects;
    instance_registry& instances;
};

/// Belongs to one thread; call every member function from its fibers, `start` also before it runs any.
class control_plane {
public:
    control_plane(io_thread& thread, shared_state& shared, platform_services platform);

    /// Starts the fibers that receive heartbeats and that run each periodic task.
    void start();
    /// Marks a member that did not reply to this instance as suspect.
    void mark_suspect(instance_id id);
    /// Announces to the members and in the platform's instance list that this instance is leaving, so that no
    /// more callers are directed to it.
    void announce_leaving();
    /// Stores the pending account records and removes this instance from the platform's instance list.
    /// Returns whether all own records were stored.
    bool flush_and_deregister();
    /// Closes the sockets and makes every fiber end after its current step or sleep.
    void stop();

    /// Handles the messages of one frame of another instance and returns the acknowledgements.
    peer_reply handle_peer_batch(instance_id from, peer_batch batch);

    /// The state of this instance as a JSON document for operators.
    [[nodiscard]] std::string status_json() const;

private:
    using periodic_task = void (control_plane::*)();

    void run_every(std::chrono::milliseconds period, periodic_task task);
    void refresh_instance_list();
    void poll_tables();
    void fetch_tables_from_peer();
    void heartbeat_tick();
    void receive_heartbeats();
    void send_heartbeats(std::size_t rounds);
    void flush_account();
    void send_load_updates_if_changed();
    void apply_tables(std::string_view encoded, std::string_view source);
    void publish_fleet_state();
    void handle_load_message(instance_id from, pool_load_update const& message);
    void send_pool_load_update(fleet_state const& fleet, std::string const& name, pool_runtime const& pool);
    [[nodiscard]] pool_load_update make_load_message(fleet_state const& fleet, std::string const& name,
                                                     pool_runtime const& pool) const;
    [[nodiscard]] std::vector<instance_entry>
    load_update_receivers(fleet_state const& fleet, std::string const& name, pool_runtime const& pool) const;
    peer_loads& peer_loads_of(std::string const& name, pool_runtime const& pool);
    [[nodiscard]] std::set<instance_id> live_instances() const;

    io_thread& m_thread;
    shared_state& m_shared;
    platform_services m_platform;
    table_store m_tables;
    membership m_membership;
    peer_link_cache m_peer_links;
    boost::asio::ip::udp::socket m_gossip_socket;
    std::string m_encoded_tables; ///< As stored in the platform, for peers that cannot reach it.
    std::shared_ptr<routing_tables const> m_current_tables = std::make_shared<routing_tables>();
    std::int64_t m_tables_applied_unix_ms = 0;
    std::uint64_t m_sent_load_changes = 0;
    nanoseconds m_load_updates_sent_at{};
    std::map<std::string, peer_loads> m_peer_loads; ///< By pool; cleared by each new version of the tables.
    std::vector<member_view> m_published_members;
    bool m_published_is_isolated = false;
    bool m_had_peers = false;
    bool m_is_platform_reachable = false;
    bool m_stopping = false;
};

} // namespace pomelospread
