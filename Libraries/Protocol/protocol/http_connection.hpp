// One HTTP/1.1 connection to a target, the platform or another instance, and a pool of idle ones.
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"
#include "protocol/http_types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace pomelospread {

/// The exchange failed before any byte that can make the request run was sent.
class request_not_executed : public error {
public:
    using error::error;
};

/// A client connection; belongs to one thread. After any failure it is closed for good.
class http_connection {
public:
    /// Connects. Throws `connect_failed` or, at the deadline, `deadline_exceeded`.
    http_connection(boost::asio::io_context& io, endpoint const& remote, steady_time deadline);

    /// Sends a request and reads its whole answer, whose length is checked.
    /// Throws `exchange_incomplete`, or `deadline_exceeded` when the deadline passed.
    http_response exchange(http_request const& request, std::size_t max_body_bytes, steady_time deadline);

    /// Sends the header with `Expect: 100-continue` (RFC 9110 section 10.1.1) and the body only once the
    /// other end has answered, so that a dead path is found before the request can run.
    /// Throws `request_not_executed` when no answer came by `answer_by`.
    http_response exchange_with_expect_continue(http_request request, std::size_t max_body_bytes,
                                                steady_time answer_by, steady_time deadline);

    /// True when another exchange may follow: the last one was complete and the other end keeps it open.
    [[nodiscard]] bool is_reusable() const noexcept { return m_reusable; }
    /// False when the other end closed the connection or sent unasked bytes.
    [[nodiscard]] bool is_open_and_idle();
    [[nodiscard]] steady_time last_used() const noexcept { return m_last_used; }
    [[nodiscard]] std::size_t bytes_written() const noexcept { return m_bytes_written; }

    /// Closes the connection, which ends a wait in `exchange`; call from the owning thread.
    void close();

private:
    http_response read_response(std::size_t max_body_bytes, bool head_request, steady_time deadline);
    [[noreturn]] void close_and_throw(char const* step, boost::system::error_code error);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_read_buffer;
    bool m_reusable = false;
    std::size_t m_bytes_written = 0;
    steady_time m_last_used;
};

/// Idle connections of one thread, by address; bounded per address.
class connection_cache {
public:
    connection_cache(boost::asio::io_context& io, std::size_t max_idle_per_address,
                     std::chrono::milliseconds max_idle_time);

    /// An idle connection that still looks open, or nothing.
    [[nodiscard]] std::unique_ptr<http_connection> acquire_idle(endpoint const& remote);
    /// A new connection. Throws as the constructor of `http_connection`.
    [[nodiscard]] std::unique_ptr<http_connection> open(endpoint const& remote, steady_time deadline);
    /// Takes a connection back when it may be used again; the oldest idle ones beyond `max_idle` are closed.
    void release(endpoint const& remote, std::unique_ptr<http_connection> connection, std::size_t max_idle);
    void release(endpoint const& remote, std::unique_ptr<http_connection> connection) {
        release(remote, std::move(connection), m_max_idle_per_address);
    }
    /// Closes every idle connection of an address, after one of them was found dead.
    void close_idle(endpoint const& remote);

private:
    boost::asio::io_context& m_io;
    std::size_t m_max_idle_per_address;
    std::chrono::milliseconds m_max_idle_time;
    std::map<endpoint, std::deque<std::unique_ptr<http_connection>>> m_idle_connections;
};

} // namespace pomelospread
