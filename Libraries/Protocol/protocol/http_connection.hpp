// An HTTP/1.1 client connection to a target, the platform or another instance, and a cache of idle
// connections.
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"
#include "protocol/http_types.hpp"
#include "protocol/refused_request_ids.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>

#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace pomelospread {

/// The exchange failed before anything was sent that could make the other end run the request.
class request_not_executed : public error {
public:
    using error::error;
};

/// A client connection; belongs to one thread. After any failure it is closed and cannot be used again.
class http_connection {
public:
    /// Connects. Throws `connect_failed` or, at the deadline, `deadline_exceeded`.
    http_connection(boost::asio::io_context& io, endpoint const& remote, steady_time deadline);

    /// Sends a request and reads the complete final response; interim ones (1xx) are skipped. A response
    /// whose length is not stated is rejected, since it could be truncated. Throws `exchange_incomplete`, or
    /// `deadline_exceeded` when the deadline passed.
    http_response exchange(http_request const& request, std::size_t max_body_bytes, steady_time deadline);

    /// Sends the header with `Expect: 100-continue` (RFC 9110 section 10.1.1), and the body only after the
    /// other end sent status 100, so that a dead connection is detected before the request can run. A final
    /// response before the body is returned, and the connection is closed. Throws `request_not_executed` when
    /// no response came by `continue_deadline` or that final response is incomplete; once the body is being
    /// sent, throws as `exchange` does.
    http_response exchange_with_expect_continue(http_request request, std::size_t max_body_bytes,
                                                steady_time continue_deadline, steady_time deadline);

    /// True when another exchange may follow: the last one was complete and the other end keeps the
    /// connection open.
    [[nodiscard]] bool is_reusable() const noexcept { return m_reusable; }
    /// False when the other end closed the connection or sent bytes that no request asked for.
    [[nodiscard]] bool is_open_and_idle();
    [[nodiscard]] steady_time last_used() const noexcept { return m_last_used; }
    /// Kept by those who send requests with an id.
    [[nodiscard]] refused_request_ids& refused_ids() noexcept { return m_refused_ids; }
    [[nodiscard]] std::size_t bytes_written() const noexcept { return m_bytes_written; }

    /// Closes the connection, which makes an exchange in progress fail; call from the owning thread.
    void close();

private:
    http_response read_response(std::size_t max_body_bytes, bool head_request, steady_time deadline);
    /// Takes the response out of the parser of a complete final one.
    http_response
    accept_response(boost::beast::http::response_parser<boost::beast::http::string_body>& parser,
                    bool head_request);
    [[noreturn]] void close_and_throw(char const* operation, boost::system::error_code error);

    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_read_buffer{max_buffered_bytes};
    refused_request_ids m_refused_ids;
    bool m_reusable = false;
    std::size_t m_bytes_written = 0;
    steady_time m_last_used;
};

/// The idle connections of one thread by address, limited in number per address.
class connection_cache {
public:
    connection_cache(boost::asio::io_context& io, std::size_t max_idle_per_address,
                     std::chrono::milliseconds max_idle_time);

    /// An idle connection that still seems open, or nullptr.
    [[nodiscard]] std::unique_ptr<http_connection> acquire_idle(endpoint const& remote);
    /// Opens a new connection. Throws as the constructor of `http_connection` does.
    [[nodiscard]] std::unique_ptr<http_connection> open(endpoint const& remote, steady_time deadline);
    /// Keeps a connection for reuse, or closes it when it is not reusable. Closes the oldest idle ones beyond
    /// `max_idle`.
    void release(endpoint const& remote, std::unique_ptr<http_connection> connection, std::size_t max_idle);
    void release(endpoint const& remote, std::unique_ptr<http_connection> connection) {
        release(remote, std::move(connection), m_max_idle_per_address);
    }
    /// Closes every idle connection of an address; used after an exchange with it failed.
    void close_idle(endpoint const& remote);

private:
    boost::asio::io_context& m_io;
    std::size_t m_max_idle_per_address;
    std::chrono::milliseconds m_max_idle_time;
    std::map<endpoint, std::deque<std::unique_ptr<http_connection>>> m_idle_connections;
};

} // namespace pomelospread
