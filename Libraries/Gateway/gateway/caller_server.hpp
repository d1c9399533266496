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

/// Notifies a request's handler that the caller disconnected. Used only on the server's thread.
class disconnect_notifier {
public:
    [[nodiscard]] bool is_disconnected() const noexcept { return m_is_disconnected; }
    /// Sets the handler of the disconnect. It is called at most once, from a handler of the thread's
    /// io_context, and must not suspend.
    void set_disconnect_handler(std::function<void()> handler) { m_disconnect_handler = std::move(handler); }
    void clear_disconnect_handler() { m_disconnect_handler = nullptr; }
    void notify_disconnected();

private:
    bool m_is_disconnected = false;
    std::function<void()> m_disconnect_handler;
};

/// What the owner of the server provides.
struct caller_server_callbacks {
    /// Handles a request; may suspend the calling fiber. `received` is when its last byte was read.
    std::function<http_response(http_request&, disconnect_notifier&, steady_time received)> handle;
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
