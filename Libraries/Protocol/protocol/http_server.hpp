// An HTTP/1.1 server on one thread: one fiber per connection, with bounded sizes and waits.
#pragma once

#include "base/endpoint.hpp"
#include "protocol/http_types.hpp"
#include "transport/connection_acceptor.hpp"
#include "transport/io_thread.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>

namespace pomelospread {

/// Serves requests with a handler, which may suspend its fiber but must not block its thread.
class http_server {
public:
    using handler = std::function<http_response(http_request&)>;

    /// Listens; several servers may share an address, each with its own accept queue.
    /// Throws `connect_failed` when the address cannot be bound.
    http_server(io_thread& thread, endpoint const& address, http_limits limits, handler on_request);
    ~http_server();

    /// Starts to accept connections.
    void start();
    /// From now on every response carries `Connection: close` (RFC 9112 section 9.6).
    void begin_drain() noexcept { m_draining = true; }
    /// Accepts the connections that wait in the kernel's accept queue, stops listening and closes idle
    /// connections. Requests in progress are completed. Call from a fiber of the server's thread.
    void stop_listening();

    [[nodiscard]] endpoint local_address() const { return m_acceptor.local_address(); }
    [[nodiscard]] std::size_t open_connections() const noexcept { return m_open_connections.load(); }

private:
    struct session;

    void start_session(boost::asio::ip::tcp::socket socket);
    void serve_session(session& current);
    [[nodiscard]] bool serve_request(session& current);

    io_thread& m_thread;
    http_limits m_limits;
    handler m_handler;
    connection_acceptor m_acceptor;
    std::set<session*> m_idle_sessions;
    std::atomic<bool> m_draining{false};
    std::atomic<std::size_t> m_open_connections{0};
};

} // namespace pomelospread
