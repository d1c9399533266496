#include "transport/connection_acceptor.hpp"

#include "base/log.hpp"
#include "transport/use_fiber.hpp"

#include <boost/fiber/operations.hpp>

#include <utility>

namespace pomelospread {

namespace asio = boost::asio;

namespace {

/// Wait after a failed accept. Most failures are a lack of file descriptors, which lasts longer than one
/// connection attempt.
constexpr auto accept_retry_delay = std::chrono::milliseconds(10);

} // namespace

connection_acceptor::connection_acceptor(io_thread& thread, endpoint const& address, listener_sharing sharing)
    : m_thread(thread), m_acceptor(open_listener(thread.io(), address, sharing)) {}

void connection_acceptor::start(connection_handler handler) {
    m_handler = std::move(handler);
    m_thread.spawn([this] { accept_loop(); });
}

void connection_acceptor::accept_loop() {
    while (!m_closed) {
        boost::system::error_code error;
        auto socket = m_acceptor.async_accept(use_fiber(error));
        if (error && m_closed) {
            return;
        }
        if (error) {
            log_line(log_level::warning, "accept_failed").field("reason", error.message()).write();
            boost::this_fiber::sleep_for(accept_retry_delay);
            continue;
        }
        m_handler(std::move(socket));
    }
}

void connection_acceptor::drain_and_close() {
    for (;;) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(m_thread.io());
        m_acceptor.accept(socket, error);
        if (error) {
            break;
        }
        m_handler(std::move(socket));
    }
    close();
}

void connection_acceptor::close() {
    m_closed = true;
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

endpoint connection_acceptor::local_address() const {
    auto const local = m_acceptor.local_endpoint();
    return {local.address().to_string(), local.port()};
}

} // namespace pomelospread
