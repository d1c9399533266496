// Keeps one instance's view of the fleet: tables, members and in-flight counts, on the control thread.
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

/// The platform's services as the instance uses them.
struct platform_services {
    table_service& table;
    object_store& objects;
    instance_registry& instances;
};

/// Runs on one thread; every member is called from its fibers unless said otherwise.
class control_plane {
public:
    control_plane(io_thread& thread, shared_state& shared, platform_services platform);

    /// Starts the fibers that poll, gossip and flush.
    void start();
    /// A member did not answer this instance.
    void mark_suspect(instance_id id);
    /// Tells the fleet that this instance leaves; nobody is sent to it from then on.
    void announce_leaving();
    /// Stores what is pending and withdraws from the platform's list. Returns whether all was stored.
    bool flush_and_withdraw();
    /// Ends every fiber.
    void stop();

    /// Answers a frame of another instance.
    peer_reply handle_peer_batch(instance_id from, peer_batch batch);

    /// A JSON document of what this instance knows, for operators.
    [[nodiscard]] std::string status_json() const;

private:
    using periodic_task = void (control_plane::*)();

    void run_every(std::chrono::milliseconds period, periodic_task body);
    void refresh_instance_list();
    void poll_tables();
    void fetch_tables_from_peer();
    void heartbeat_tick();
    void receive_heartbeats();
    void send_heartbeats(std::size_t rounds);
    void flush_account();
    void report_loads_if_changed();
    void apply_tables(std::string_view encoded, std::string_view source);
    void publish_fleet_state();
    void handle_load_message(instance_id from, load_message const& message);
    void report_pool_load(fleet_state const& fleet, std::string const& name, pool_runtime const& pool);
    [[nodiscard]] load_message make_load_message(fleet_state const& fleet, std::string const& name,
                                                 pool_runtime const& pool) const;
    [[nodiscard]] std::vector<instance_entry>
    load_report_receivers(fleet_state const& fleet, std::string const& name, pool_runtime const& pool) const;
    peer_loads& peer_loads_of(std::string const& name, pool_runtime const& pool);
    [[nodiscard]] std::set<instance_id> live_instances() const;

    io_thread& m_thread;
    shared_state& m_shared;
    platform_services m_platform;
    table_store m_tables;
    membership m_membership;
    peer_link_cache m_peer_links;
    boost::asio::ip::udp::socket m_gossip_socket;
    std::string m_encoded_tables; ///< As the platform holds them, for peers that start without it.
    std::shared_ptr<routing_tables const> m_current_tables = std::make_shared<routing_tables>();
    std::int64_t m_tables_applied_unix_ms = 0;
    std::uint64_t m_reported_load_changes = 0;
    nanoseconds m_loads_reported_at{};
    std::map<std::string, peer_loads> m_peer_loads; ///< By pool; dropped with each version of the tables.
    std::vector<member_view> m_published_members;
    bool m_published_is_isolated = false;
    bool m_had_peers = false;
    bool m_is_platform_reachable = false;
    bool m_stopping = false;
};

} // namespace pomelospread
