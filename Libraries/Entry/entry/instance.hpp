// An entry instance: its threads, servers and their orderly start and stop.
#pragma once

#include "coordination/memory_platform.hpp"
#include "entry/fleet_control.hpp"
#include "entry/request_handler.hpp"
#include "entry/shared_parts.hpp"
#include "protocol/http_server.hpp"
#include "protocol/platform_client.hpp"

#include <memory>
#include <vector>

namespace pomelospread {

/// Runs until told to stop. Construct and call from the main thread.
class instance {
public:
    /// Binds every address. Throws `connect_failed` or `invalid_input`.
    explicit instance(instance_settings settings);
    ~instance();

    /// Blocks until SIGTERM or SIGINT, then stops in order: no request in progress is cut.
    void run();

private:
    struct worker {
        std::unique_ptr<io_thread> thread;
        std::unique_ptr<request_handler> handler;
        std::unique_ptr<http_server> server;
    };

    void load_embedded_tables();
    void start();
    void stop();
    void wait_for_requests();
    [[nodiscard]] http_response answer_operator(http_request const& request) const;

    std::shared_ptr<shared_parts> m_shared;
    memory_platform m_memory_platform;
    std::unique_ptr<io_thread> m_control_thread;
    std::unique_ptr<platform_client> m_platform_client;
    std::unique_ptr<fleet_control> m_control;
    std::unique_ptr<peer_server> m_peer_server;
    std::unique_ptr<http_server> m_admin_server;
    std::vector<worker> m_workers;
};

} // namespace pomelospread
