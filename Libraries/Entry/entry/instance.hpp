// An entry instance: owns its threads and servers, and starts and stops them in order.
#pragma once

#include "coordination/in_memory_platform.hpp"
#include "entry/control_plane.hpp"
#include "entry/request_handler.hpp"
#include "entry/shared_state.hpp"
#include "protocol/http_server.hpp"
#include "protocol/platform_client.hpp"

#include <memory>
#include <vector>

namespace pomelospread {

/// Runs until the process receives a stop signal. Construct and call from the main thread.
class instance {
public:
    /// Binds every address. Throws `connect_failed` when that fails, or `invalid_input`.
    explicit instance(instance_settings settings);
    ~instance();

    /// Blocks until SIGTERM or SIGINT, then drains: requests in progress are completed before the servers
    /// stop.
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
    void wait_for_requests_in_progress();
    [[nodiscard]] http_response handle_admin_request(http_request const& request) const;

    std::shared_ptr<shared_state> m_shared;
    in_memory_platform m_in_memory_platform;
    std::unique_ptr<io_thread> m_control_thread;
    std::unique_ptr<platform_client> m_platform_client;
    std::unique_ptr<control_plane> m_control_plane;
    std::unique_ptr<peer_server> m_peer_server;
    std::unique_ptr<http_server> m_admin_server;
    std::vector<worker> m_workers;
};

} // namespace pomelospread
