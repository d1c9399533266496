// The HTTP server for callers. Pipelined requests of one connection may run concurrently; their
// responses are sent in order. A disconnect of the caller is detected while its requests are in progress.
#pragma once

#include "base/endpoint.hpp"
#include "protocol/http_types.hpp"
#include "state/routing_tables.hpp"
#include "transport/connection_acceptor.hpp"
#include "transport/io_thread.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <set>

namespace pomelospread {

/// Tells a request's handler to finish early: the caller disconnected, or the instance is about to end. Used
/// only on the server's thread.
class interruption_notifier {
public:
    [[nodiscard]] bool is_disconnected() const noexcept { return m_is_disconnected; }
    /// The caller still awaits a response, but the instance serves no longer.
    [[nodiscard]] bool is_serving_over() const noexcept { return m_is_serving_over; }
    [[nodiscard]] bool is_interrupted() const noexcept { return m_is_disconnected || m_is_serving_over; }
    /// Sets the handler of an interruption. It is called at most once for each reason, from a handler of the
    /// thread's io_context or from a fiber, and must not suspend.
    void set_handler(std::function<void()> handler) { m_handler = std::move(handler); }
    void clear_handler() { m_handler = nullptr; }
    void notify_disconnected() { notify(m_is_disconnected); }
    void notify_serving_over() { notify(m_is_serving_over); }

private:
    void notify(bool& reason);

    bool m_is_disconnected = false;
    bool m_is_serving_over = false;
    std::function<void()> m_handler;
};

/// What the owner of the server provides.
struct caller_server_callbacks {
    /// Handles a request; may suspend the calling fiber. `received` is when its last byte was read.
    std::function<http_response(http_request&, interruption_notifier&, steady_time received)> handle;
    /// Whether the request may run while other requests of its connection are in progress.
    std::function<bool(http_request const&)> may_run_concurrently;
    /// The limits in force now.
    std::function<caller_limits()> limits;
};

/// An HTTP/1.1 server on one thread: a fiber per connection and one per request in progress.
class caller_server {
public:
    /// Listens. Throws `connect_failed` when the address cannot be bound.
    caller_server(io_thread& thread, endpoint const& address, caller_server_callbacks callbacks);
    ~caller_server();

    void start();
    /// From now on, a response with no request pending behind it is sent with `Connection: close`.
    void begin_drain() noexcept { m_draining = true; }
    /// Accepts the connections in the kernel's queue, stops listening and closes idle connections. Requests
    /// in progress are still completed. Call from a fiber of the server's thread.
    void stop_listening();
    /// Has the handlers of the requests in progress finish at once, since the process is about to end. Call
    /// from a fiber of the server's thread.
    void interrupt_requests();

    [[nodiscard]] endpoint local_address() const { return m_acceptor.local_address(); }
    [[nodiscard]] std::size_t open_connection_count() const noexcept { return m_connections.size(); }

private:
    class connection;

    void start_connection(boost::asio::ip::tcp::socket socket);

    io_thread& m_thread;
    caller_server_callbacks m_callbacks;
    connection_acceptor m_acceptor;
    std::set<std::shared_ptr<connection>> m_connections;
    bool m_draining = false;
};

} // namespace pomelospread
