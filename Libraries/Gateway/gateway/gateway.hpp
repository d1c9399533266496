// A forwarding instance put together: its servers, its knowledge, its stop.
#pragma once

#include "coordination/fleet_store.hpp"
#include "gateway/caller_server.hpp"
#include "gateway/fleet_sync.hpp"
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
    /// Makes the platform's adapter on the instance's thread.
    using store_factory =
        std::function<std::unique_ptr<fleet_store>(boost::asio::io_context&, gateway_settings const&)>;

    /// Throws `connect_failed` when an address cannot be bound.
    gateway(gateway_settings settings, forwarding_dialect const& dialect, store_factory const& make_store);
    ~gateway();

    /// Serves until SIGTERM or SIGINT, then stops in order. SIGHUP has the settings read again.
    void run(std::function<gateway_settings()> read_settings);

private:
    void start();
    void stop();
    void reload(std::function<gateway_settings()> const& read_settings);
    void keep_account();
    [[nodiscard]] http_response answer_ready(http_request const& request) const;
    [[nodiscard]] http_response answer_addresses(http_request const& request) const;
    [[nodiscard]] http_response answer_operator(http_request const& request) const;

    io_thread m_thread;
    instance_entry m_self;
    forwarding_state m_state;
    target_client m_targets;
    request_dispatcher m_dispatcher;
    std::unique_ptr<fleet_store> m_store;
    std::unique_ptr<fleet_sync> m_sync;
    std::unique_ptr<caller_server> m_callers;
    std::unique_ptr<http_server> m_readiness;
    std::unique_ptr<http_server> m_addresses;
    std::unique_ptr<http_server> m_metrics;
    bool m_stopping = false;
};

} // namespace pomelospread
