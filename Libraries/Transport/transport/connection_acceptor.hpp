// Accepts the connections of one address and hands each to its server.
#pragma once

#include "transport/io_thread.hpp"
#include "transport/listener.hpp"

#include <atomic>
#include <functional>

namespace pomelospread {

/// Every method but the constructor is called from fibers of the thread, `start` also before it runs any.
class connection_acceptor {
public:
    using connection_handler = std::function<void(boost::asio::ip::tcp::socket)>;

    /// Listens. Throws `connect_failed` when the address cannot be bound.
    connection_acceptor(io_thread& thread, endpoint const& address, listener_sharing sharing);

    /// Passes each connection to `take`, which must not suspend.
    void start(connection_handler take);
    /// Passes on what waits in the kernel's queue, which closing the listener would reset, then closes.
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
