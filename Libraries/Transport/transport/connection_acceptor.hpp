// Accepts the connections to one address and passes each to a handler.
#pragma once

#include "transport/io_thread.hpp"
#include "transport/listener.hpp"

#include <atomic>
#include <functional>

namespace pomelospread {

/// Call the functions other than the constructor only from fibers of the thread. `start` may also be called
/// before the thread runs any fiber.
class connection_acceptor {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Listens. Throws `connect_failed` when the address cannot be bound.
    connection_acceptor(io_thread& thread, endpoint const& address, listener_sharing sharing);

    /// Starts to accept and passes each connection to `handler`, which must not suspend.
    void start(connection_handler handler);
    /// Accepts the connections that wait in the kernel's accept queue and passes them on, since closing the
    /// listener would reset them; then closes it.
    void drain_and_close();
    void close();

    [[nodiscard]] endpoint local_address() const;

private:
    void accept_loop();

    io_thread& m_thread;
    boost::asio::ip::tcp::acceptor m_acceptor;
    connection_handler m_handler;
    std::atomic<bool> m_closed{false};
};

} // namespace pomelospread
