// Keeps one instance's view of the fleet: tables, members and in-flight counts, on the control thread.
#pragma once

#include "coordination/membership.hpp"
#include "coordination/peer_loads.hpp"
#include "coordination/table_store.hpp"
#include "entry/shared_parts.hpp"
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
    instance_list& instances;
};

/// Runs on one thread; every member is called from its fibers unless said otherwise.
class fleet_control {
public:
    fleet_control(io_thread& thread, shared_parts& shared, platform_services platform);

    /// Starts the fibers that poll, gossip and flush.
    void start();
    /// A member did not answer this instance.
    void suspect(instance_id id);
    /// Tells the fleet that this instance leaves; nobody is sent to it from then on.
    void announce_leaving();
    /// Stores what is pending and withdraws from the platform's list. Returns whether all was stored.
    bool finish();
    /// Ends every fiber.
    void stop();

    /// Answers a frame of another instance.
    peer_reply answer_peer(instance_id from, peer_batch batch);

    /// A JSON document of what this instance knows, for operators.
    [[nodiscard]] std::string status() const;

private:
    using fiber_body = void (fleet_control::*)();

    void run_every(std::chrono::milliseconds period, fiber_body body);
    void read_list();
    void read_tables();
    void read_tables_from_peer();
    void beat();
    void receive_heartbeats();
    void send_heartbeats(std::size_t rounds);
    void flush_account();
    void share_loads();
    void adopt(std::string_view encoded, std::string_view source);
    void publish();
    void receive_load(instance_id from, load_message const& message);
    void tell_loads(fleet_state const& fleet, std::string const& name, pool_runtime const& pool);
    [[nodiscard]] load_message describe_loads(fleet_state const& fleet, std::string const& name,
                                              pool_runtime const& pool) const;
    [[nodiscard]] std::vector<instance_entry>
    load_receivers(fleet_state const& fleet, std::string const& name, pool_runtime const& pool) const;
    peer_loads& loads_of(std::string const& name, pool_runtime const& pool);
    [[nodiscard]] std::set<instance_id> living() const;

    io_thread& m_thread;
    shared_parts& m_shared;
    platform_services m_platform;
    table_store m_tables;
    membership m_members;
    peer_links m_links;
    boost::asio::ip::udp::socket m_socket;
    std::string m_encoded_tables; ///< As the platform holds them, for peers that start without it.
    std::shared_ptr<tables const> m_content = std::make_shared<tables>();
    std::int64_t m_in_force_unix_ms = 0;
    std::uint64_t m_shared_changes = 0;
    nanoseconds m_loads_told{};
    std::map<std::string, peer_loads> m_peer_loads; ///< By pool; dropped with each version of the tables.
    std::vector<member_view> m_published;
    bool m_published_cut_off = false;
    bool m_had_peers = false;
    bool m_platform_answers = false;
    bool m_stopping = false;
};

} // namespace pomelospread
