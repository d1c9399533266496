#include "protocol/http_server.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "protocol/message_reading.hpp"
#include "transport/use_fiber.hpp"

#include <boost/beast/http.hpp>

#include <array>
#include <optional>
#include <utility>

namespace pomelospread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t first_read_bytes = 1024;
constexpr auto close_timeout = std::chrono::milliseconds(500);

} // namespace

struct http_server::session {
    explicit session(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffered_bytes};
};

http_server::http_server(io_thread& thread, endpoint const& address, http_limits limits, handler on_request)
    : m_thread(thread), m_limits(limits), m_handler(std::move(on_request)),
      m_acceptor(thread, address, listener_sharing::shared) {}

http_server::~http_server() = default;

void http_server::start() {
    m_acceptor.start([this](asio::ip::tcp::socket socket) { start_session(std::move(socket)); });
}

void http_server::start_session(asio::ip::tcp::socket socket) {
    if (m_open_connections >= m_limits.max_connections) {
        log_line(log_level::warning, "connection_refused").field("reason", "max_connections").write();
        return;
    }
    ++m_open_connections;
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    auto new_session = std::make_shared<session>(std::move(socket));
    m_thread.spawn([this, new_session] {
        serve_session(*new_session);
        --m_open_connections;
    });
}

void http_server::serve_session(session& current) {
    while (serve_request(current)) {
    }
    // RFC 9112 section 9.6: close the sending side first and read the remaining input, so that a TCP reset
    // cannot discard the last response.
    boost::system::error_code error;
    current.stream.socket().shutdown(asio::socket_base::shutdown_send, error);
    current.stream.expires_after(close_timeout);
    std::array<char, 512> discarded{};
    while (!error) {
        current.stream.async_read_some(asio::buffer(discarded), use_fiber(error));
    }
    current.stream.close();
}

bool http_server::serve_request(session& current) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_limits.max_header_bytes));
    parser.body_limit(m_limits.max_body_bytes);
    boost::system::error_code error;
    if (current.buffer.size() == 0) {
        // An idle connection must not retain a buffer that grew for a large request.
        current.buffer.shrink_to_fit();
        current.stream.expires_after(m_limits.idle_timeout);
        m_idle_sessions.insert(&current);
        auto const received_bytes =
            current.stream.async_read_some(current.buffer.prepare(first_read_bytes), use_fiber(error));
        m_idle_sessions.erase(&current);
        current.buffer.commit(received_bytes);
        if (error) {
            return false;
        }
    }
    current.stream.expires_after(m_limits.read_timeout);
    http::async_read_header(current.stream, current.buffer, parser, use_fiber(error));
    if (!error && header_field(parser.get(), "Expect") == "100-continue") {
        http::response<http::empty_body> const continue_response{http::status::continue_, 11};
        http::async_write(current.stream, continue_response, use_fiber(error));
    }
    if (!error) {
        read_message(current.stream, current.buffer, parser, error);
    }
    std::optional<http_response> response;
    bool keep_alive = false;
    if (error == http::error::header_limit) {
        response = make_response(431, "application/json",
                                 R"({"error":"header_too_large"})"
                                 "\n");
    } else if (error == http::error::body_limit) {
        response = make_response(413, "application/json",
                                 R"({"error":"body_too_large","allowed_bytes":)" +
                                     std::to_string(m_limits.max_body_bytes) + "}\n");
    } else if (error.category() == http::make_error_code(http::error::bad_version).category() &&
               error != http::error::end_of_stream && error != http::error::partial_message) {
        response = make_response(400, "application/json",
                                 R"({"error":"malformed_request"})"
                                 "\n");
    } else if (error) {
        return false;
    } else {
        auto request = parser.release();
        keep_alive = request.keep_alive();
        try {
            response = m_handler(request);
        } catch (std::exception const& failure) {
            log_line(log_level::error, "handler_failed")
                .field("target", std::string_view(request.target().data(), request.target().size()))
                .field("reason", failure.what())
                .write();
            response = make_response(500, "application/json", "{\"error\":\"internal\"}\n");
        }
        if (request.method() == http::verb::head) {
            response->body().clear();
        }
    }
    keep_alive = keep_alive && !m_draining;
    response->keep_alive(keep_alive);
    current.stream.expires_after(m_limits.read_timeout);
    http::async_write(current.stream, *response, use_fiber(error));
    return !error && keep_alive;
}

void http_server::stop_listening() {
    m_draining = true;
    m_acceptor.drain_and_close();
    for (auto* idle : m_idle_sessions) {
        idle->stream.cancel();
    }
}

} // namespace pomelospread
