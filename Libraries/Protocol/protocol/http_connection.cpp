#include "protocol/http_connection.hpp"

#include "protocol/message_reading.hpp"
#include "transport/listener.hpp"
#include "transport/socket_options.hpp"
#include "transport/use_fiber.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <optional>
#include <utility>

namespace pomelospread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// How many interim (1xx) responses are skipped before the final response.
constexpr int max_interim_responses = 3;

template<class Parser>
bool is_interim(Parser const& parser) {
    return parser.get().result_int() < 200;
}

} // namespace

http_connection::http_connection(asio::io_context& io, endpoint const& remote, steady_time deadline)
    : m_stream(io), m_last_used(std::chrono::steady_clock::now()) {
    boost::system::error_code error;
    m_stream.expires_at(deadline);
    m_stream.async_connect(to_asio_endpoint(remote), use_fiber(error));
    if (error == beast::error::timeout) {
        throw deadline_exceeded("connecting to " + to_string(remote));
    }
    if (error) {
        throw connect_failed("connecting to " + to_string(remote) + ": " + error.message());
    }
    configure_socket(m_stream.socket());
}

http_response http_connection::exchange(http_request const& request, std::size_t max_body_bytes,
                                        steady_time deadline) {
    m_reusable = false;
    boost::system::error_code error;
    m_stream.expires_at(deadline);
    m_bytes_written = http::async_write(m_stream, request, use_fiber(error));
    if (error) {
        close_and_throw("sending the request", error);
    }
    return read_response(max_body_bytes, request.method() == http::verb::head, deadline);
}

http_response http_connection::exchange_with_expect_continue(http_request request, std::size_t max_body_bytes,
                                                             steady_time continue_deadline,
                                                             steady_time deadline) {
    m_reusable = false;
    m_bytes_written = 0;
    request.set(http::field::expect, "100-continue");
    http::request_serializer<http::string_body> serializer(request);
    boost::system::error_code error;
    m_stream.expires_at(continue_deadline);
    http::async_write_header(m_stream, serializer, use_fiber(error));
    std::optional<http::response_parser<http::string_body>> first_response;
    for (int skipped = 0; !error && skipped <= max_interim_responses; ++skipped) {
        first_response.emplace();
        first_response->body_limit(max_body_bytes);
        read_header(m_stream, m_read_buffer, *first_response, error);
        if (first_response->get().result() == http::status::continue_ || !is_interim(*first_response)) {
            break;
        }
    }
    if (error) {
        close();
        throw request_not_executed("no answer to the request's header: " + error.message());
    }
    if (first_response->get().result() != http::status::continue_) {
        m_stream.expires_at(deadline);
        read_message(m_stream, m_read_buffer, *first_response, error);
        close();
        if (error || is_interim(*first_response)) {
            throw request_not_executed("refused before the body: " +
                                       (error ? error.message() : "only interim answers"));
        }
        return first_response->release();
    }
    m_stream.expires_at(deadline);
    m_bytes_written = http::async_write(m_stream, serializer, use_fiber(error));
    if (error) {
        close_and_throw("sending the body", error);
    }
    return read_response(max_body_bytes, false, deadline);
}

http_response http_connection::read_response(std::size_t max_body_bytes, bool head_request,
                                             steady_time deadline) {
    m_stream.expires_at(deadline);
    for (int skipped = 0; skipped <= max_interim_responses; ++skipped) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        parser.skip(head_request);
        boost::system::error_code error;
        read_message(m_stream, m_read_buffer, parser, error);
        if (error) {
            close_and_throw("reading the answer", error);
        }
        if (!is_interim(parser)) {
            return accept_response(parser, head_request);
        }
    }
    close();
    throw exchange_incomplete("only interim answers");
}

http_response http_connection::accept_response(http::response_parser<http::string_body>& parser,
                                               bool head_request) {
    // A response that ends with the connection cannot be distinguished from a truncated one.
    bool const has_length = parser.content_length().has_value() || parser.chunked();
    if (!has_length && !head_request && parser.need_eof()) {
        close();
        throw exchange_incomplete("the answer states no length, so it cannot be known to be whole");
    }
    // Bytes after the response belong to no request, so the connection is not used again.
    m_reusable = parser.keep_alive() && m_read_buffer.size() == 0;
    m_last_used = std::chrono::steady_clock::now();
    m_stream.expires_never();
    return parser.release();
}

void http_connection::close_and_throw(char const* operation, boost::system::error_code error) {
    close();
    if (error == beast::error::timeout) {
        throw deadline_exceeded(operation);
    }
    throw exchange_incomplete(std::string(operation) + ": " + error.message());
}

bool http_connection::is_open_and_idle() {
    char byte = 0;
    auto const received = ::recv(m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void http_connection::close() {
    m_reusable = false;
    m_stream.close();
}

connection_cache::connection_cache(asio::io_context& io, std::size_t max_idle_per_address,
                                   std::chrono::milliseconds max_idle_time)
    : m_io(io), m_max_idle_per_address(max_idle_per_address), m_max_idle_time(max_idle_time) {}

std::unique_ptr<http_connection> connection_cache::acquire_idle(endpoint const& remote) {
    auto& idle = m_idle_connections[remote];
    auto const earliest_last_use = std::chrono::steady_clock::now() - m_max_idle_time;
    while (!idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (connection->last_used() >= earliest_last_use && connection->is_open_and_idle()) {
            return connection;
        }
    }
    return nullptr;
}

std::unique_ptr<http_connection> connection_cache::open(endpoint const& remote, steady_time deadline) {
    return std::make_unique<http_connection>(m_io, remote, deadline);
}

void connection_cache::release(endpoint const& remote, std::unique_ptr<http_connection> connection,
                               std::size_t max_idle) {
    if (!connection->is_reusable()) {
        return;
    }
    auto& idle = m_idle_connections[remote];
    idle.push_back(std::move(connection));
    while (idle.size() > max_idle) {
        idle.pop_front();
    }
}

void connection_cache::close_idle(endpoint const& remote) {
    m_idle_connections.erase(remote);
}

} // namespace pomelospread
