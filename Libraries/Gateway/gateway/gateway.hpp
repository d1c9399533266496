// A forwarding instance: sets up its servers and components, runs them and shuts them down.
#pragma once

#include "coordination/platform_store.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/fleet_synchronizer.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/request_dispatcher.hpp"
#include "gateway/target_client.hpp"
#include "protocol/http_server.hpp"
#include "transport/io_thread.hpp"

#include <functional>
#include <memory>

namespace pomelospread {

class gateway {
public:
    /// Creates the client of the platform's store for the instance's thread.
    using store_factory =
        std::function<std::unique_ptr<platform_store>(boost::asio::io_context&, gateway_settings const&)>;

    /// Throws `connect_failed` when an address cannot be bound.
    gateway(gateway_settings settings, forwarding_wire_format const& wire_format,
            store_factory const& make_store);
    ~gateway();

    /// Serves until SIGTERM or SIGINT, then drains and ends the process. SIGHUP reloads the settings.
    void run(std::function<gateway_settings()> read_settings);

private:
    void start();
    void stop();
    /// Waits until the callers' connections are closed, at most until the given time.
    void wait_for_connections(std::chrono::steady_clock::time_point until);
    void reload_settings(std::function<gateway_settings()> const& read_settings);
    void run_account_flush_loop();
    [[nodiscard]] http_response handle_readiness_request(http_request const& request) const;
    [[nodiscard]] http_response handle_address_request(http_request const& request) const;
    [[nodiscard]] http_response handle_admin_request(http_request const& request) const;

    io_thread m_thread;
    instance_entry m_self;
    forwarding_state m_state;
    target_client m_target_client;
    request_dispatcher m_dispatcher;
    std::unique_ptr<platform_store> m_store;
    std::unique_ptr<fleet_synchronizer> m_fleet_synchronizer;
    std::unique_ptr<caller_server> m_caller_server;
    std::unique_ptr<http_server> m_readiness_server;
    std::unique_ptr<http_server> m_address_server;
    std::unique_ptr<http_server> m_admin_server;
    bool m_stopping = false;
};

} // namespace pomelospread
