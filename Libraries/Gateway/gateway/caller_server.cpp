#include "gateway/caller_server.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "transport/socket_options.hpp"
#include "transport/use_fiber.hpp"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace pomelospread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Most requests of one connection that are in progress at once.
constexpr std::size_t max_concurrent_requests = 16;
/// Unparsed bytes of one connection at which reading pauses until its requests are parsed.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
/// Timeout of writing one response; after it the caller counts as disconnected.
constexpr auto write_timeout = std::chrono::seconds(10);
/// How long a new connection may take to send its first request after the server stopped listening.
constexpr auto first_request_timeout = std::chrono::milliseconds(300);
/// How long a closing connection continues to read, so that a reset does not discard its last response.
constexpr auto linger_timeout = std::chrono::milliseconds(500);

/// Empty lines before a request that are skipped (RFC 9112 section 2.2); more of them are malformed.
constexpr int max_empty_lines = 4;

/// Turns a target in absolute form (RFC 9112 section 3.2.2) into one in origin form; its authority replaces
/// the Host field.
void convert_to_origin_form(http_request& request) {
    beast::string_view const target = request.target();
    auto const scheme_end = target.find("://");
    if (target.starts_with('/') || scheme_end == beast::string_view::npos ||
        !(beast::iequals(target.substr(0, scheme_end), "http") ||
          beast::iequals(target.substr(0, scheme_end), "https"))) {
        return;
    }
    auto const authority_and_path = target.substr(scheme_end + 3);
    auto const authority_end = std::min(authority_and_path.find_first_of("/?"), authority_and_path.size());
    std::string const authority(authority_and_path.substr(0, authority_end));
    std::string path(authority_and_path.substr(authority_end));
    if (!path.starts_with('/')) {
        path.insert(path.begin(), '/');
    }
    request.set(http::field::host, authority);
    request.target(path);
}

http_response make_error_response(unsigned status, std::string_view error) {
    return make_response(status, "application/json", "{\"error\":\"" + std::string(error) + "\"}\n");
}

} // namespace

void interruption_notifier::notify(bool& reason) {
    if (!std::exchange(reason, true) && m_handler) {
        m_handler();
    }
}

/// Why the bytes of a connection were not taken as a request; the connection ends with this status.
struct request_rejection {
    unsigned status = 0;
    std::string reason;
};

class caller_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(caller_server& server, asio::ip::tcp::socket socket)
        : m_server(server), m_stream(std::move(socket)) {}

    void run() {
        wait_for_readable();
        while (serve_next()) {
        }
        wait_for_pending_requests();
        close_gracefully();
    }

    /// Closes the connection unless a request is in progress or has arrived. A new connection may still send
    /// its first request.
    void close_if_idle() {
        read_available({});
        // While a request is read, a line break in the unparsed bytes belongs to it.
        if (m_in_request || m_is_request_waiting || !m_pending.empty() || has_request_bytes()) {
            return;
        }
        if (m_has_read_request) {
            m_closing = true;
        } else {
            m_first_request_deadline = std::chrono::steady_clock::now() + first_request_timeout;
        }
        m_changed.notify_all();
    }

    void interrupt_requests() {
        for (auto const& each : m_pending) {
            each->notifier.notify_serving_over();
        }
    }

private:
    struct pending_request {
        http_request request;
        interruption_notifier notifier;
        std::optional<http_response> response;
        bool keep_alive = true;
        bool is_head = false;
    };
    using request_parser = http::request_parser<http::string_body>;

    /// Reads also while requests are in progress, since a disconnect of the caller is detected by reading.
    void wait_for_readable() {
        if (m_is_waiting_for_readable || m_is_disconnected || m_unparsed.size() >= max_unparsed_bytes) {
            return;
        }
        m_is_waiting_for_readable = true;
        m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                     [self = shared_from_this()](boost::system::error_code error) {
                                         self->m_is_waiting_for_readable = false;
                                         self->read_available(error);
                                     });
    }

    void read_available(boost::system::error_code error) {
        std::array<char, 16384> chunk; // NOLINT: filled by the read
        while (!error && m_unparsed.size() < max_unparsed_bytes) {
            auto const count = m_stream.socket().read_some(asio::buffer(chunk), error);
            m_unparsed.append(chunk.data(), count);
            if (count < chunk.size()) {
                break;
            }
        }
        if (error && error != asio::error::would_block && error != asio::error::try_again) {
            m_is_disconnected = true;
            for (auto const& each : m_pending) {
                each->notifier.notify_disconnected();
            }
        }
        m_changed.notify_all();
        wait_for_readable();
    }

    bool wait_for_change(steady_time deadline) {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_until(lock, deadline) == boost::fibers::cv_status::no_timeout;
    }

    /// Waits for the first byte of the next request. Returns false when the connection is to be closed.
    bool wait_for_request() {
        auto idle_since = std::chrono::steady_clock::now();
        while (!has_request_bytes()) {
            if (m_is_disconnected || m_closing) {
                return false;
            }
            if (!m_pending.empty()) {
                idle_since = std::chrono::steady_clock::now();
            }
            auto const deadline =
                std::min(idle_since + m_server.m_callbacks.limits().idle_timeout, m_first_request_deadline);
            if (!wait_for_change(deadline) && m_pending.empty() && !has_request_bytes() &&
                std::chrono::steady_clock::now() >= deadline) {
                return false;
            }
        }
        return !m_closing;
    }

    /// Skips empty lines between two requests. Returns whether a byte of the next request has arrived.
    bool has_request_bytes() {
        while (m_skipped_empty_lines < max_empty_lines && m_unparsed.starts_with("\r\n")) {
            m_unparsed.erase(0, 2);
            ++m_skipped_empty_lines;
        }
        return !m_unparsed.empty() && (m_unparsed != "\r" || m_skipped_empty_lines == max_empty_lines);
    }

    bool serve_next() {
        if (!wait_for_request()) {
            return false;
        }
        m_in_request = true;
        m_skipped_empty_lines = 0;
        auto const limits = m_server.m_callbacks.limits();
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
        parser.body_limit(static_cast<std::uint64_t>(limits.max_body_bytes));
        parser.eager(true);
        auto const rejection = read_request(parser, limits);
        m_in_request = false;
        if (rejection) {
            send_error_and_close(*rejection);
            return false;
        }
        if (m_is_disconnected && !parser.is_done()) {
            return false;
        }
        m_has_read_request = true;
        m_first_request_deadline = steady_time::max();
        auto const received = std::chrono::steady_clock::now();
        auto entry = std::make_shared<pending_request>();
        entry->request = parser.release();
        convert_to_origin_form(entry->request);
        entry->keep_alive = entry->request.keep_alive();
        entry->is_head = entry->request.method() == http::verb::head;
        return start_request(entry, received);
    }

    /// Reads one request, as far as it arrives before the caller disconnects.
    std::optional<request_rejection> read_request(request_parser& parser, caller_limits const& limits) {
        auto const deadline = std::chrono::steady_clock::now() + limits.header_timeout;
        bool continue_sent = false;
        while (!parser.is_done()) {
            boost::system::error_code error;
            auto const consumed = parser.put(asio::buffer(m_unparsed), error);
            m_unparsed.erase(0, consumed);
            wait_for_readable();
            if (parser.is_done()) {
                return std::nullopt;
            }
            if (error == http::error::header_limit) {
                return request_rejection{431, "the header exceeds " +
                                                  std::to_string(limits.max_header_bytes) + " bytes"};
            }
            if (error == http::error::body_limit) {
                return request_rejection{413, "the body exceeds " + std::to_string(limits.max_body_bytes) +
                                                  " bytes"};
            }
            if (error && error != http::error::need_more) {
                return request_rejection{400, "malformed: " + error.message()};
            }
            if (parser.is_header_done() && !continue_sent &&
                beast::iequals(parser.get()[http::field::expect], "100-continue")) {
                continue_sent = true;
                send_continue();
            }
            if (consumed > 0 && !m_unparsed.empty()) {
                continue;
            }
            if (m_is_disconnected) {
                return std::nullopt;
            }
            if (!wait_for_change(deadline) && std::chrono::steady_clock::now() >= deadline) {
                return request_rejection{408, "incomplete after " +
                                                  std::to_string(limits.header_timeout.count()) + " ms"};
            }
        }
        return std::nullopt;
    }

    void send_continue() {
        boost::system::error_code error;
        http::response<http::empty_body> const continue_response{http::status::continue_, 11};
        m_stream.expires_after(write_timeout);
        http::async_write(m_stream, continue_response, use_fiber(error));
    }

    /// Starts a request once it may run concurrently with those in progress. Returns false when no
    /// further request of the connection is to be read.
    bool start_request(std::shared_ptr<pending_request> const& entry, steady_time received) {
        bool const is_concurrent = m_server.m_callbacks.may_run_concurrently(entry->request);
        m_is_request_waiting = true;
        while (!m_is_disconnected && !m_pending.empty() &&
               (!is_concurrent || !m_pending_may_run_concurrently ||
                m_pending.size() >= max_concurrent_requests)) {
            wait_for_change(std::chrono::steady_clock::now() + write_timeout);
        }
        m_is_request_waiting = false;
        if (m_is_disconnected || m_closing) {
            // The caller sends a request that is behind a closing response again, so it must not run.
            return false;
        }
        m_pending_may_run_concurrently = is_concurrent;
        bool const is_last = !entry->keep_alive;
        m_pending.push_back(entry);
        m_server.m_thread.spawn(
            [self = shared_from_this(), entry, received] { self->handle_request(*entry, received); });
        return !is_last;
    }

    void handle_request(pending_request& entry, steady_time received) {
        entry.response = m_server.m_callbacks.handle(entry.request, entry.notifier, received);
        entry.notifier.clear_handler();
        write_ready();
        m_changed.notify_all();
    }

    /// Writes the responses that are next in order; only one fiber writes at a time.
    void write_ready() {
        if (m_writing) {
            return;
        }
        m_writing = true;
        while (!m_pending.empty() && m_pending.front()->response && !m_is_disconnected) {
            auto const entry = m_pending.front();
            write(*entry);
            m_pending.pop_front();
            m_changed.notify_all();
        }
        if (m_is_disconnected) {
            while (!m_pending.empty() && m_pending.front()->response) {
                m_pending.pop_front();
            }
        }
        m_writing = false;
    }

    void write(pending_request& entry) {
        auto& response = *entry.response;
        bool const is_last_pending =
            m_pending.size() == 1 && m_unparsed.empty() && !m_in_request && !m_is_request_waiting;
        bool const keep_alive = entry.keep_alive && !(m_server.m_draining && is_last_pending);
        if (!keep_alive) {
            m_closing = true;
        }
        response.keep_alive(keep_alive);
        boost::system::error_code error;
        m_stream.expires_after(write_timeout);
        if (entry.is_head) {
            http::response_serializer<http::string_body> serializer(response);
            http::async_write_header(m_stream, serializer, use_fiber(error));
        } else {
            http::async_write(m_stream, response, use_fiber(error));
        }
        m_stream.expires_never();
        if (error) {
            mark_disconnected();
        }
    }

    void mark_disconnected() {
        m_is_disconnected = true;
        for (auto const& each : m_pending) {
            each->notifier.notify_disconnected();
        }
    }

    void send_error_and_close(request_rejection const& rejection) {
        wait_for_pending_requests();
        if (m_is_disconnected) {
            return;
        }
        log_line(log_level::info, "request_refused")
            .field("status", static_cast<std::int64_t>(rejection.status))
            .field("reason", rejection.reason)
            .write();
        auto response = make_error_response(rejection.status, "request_not_read");
        response.keep_alive(false);
        boost::system::error_code error;
        m_stream.expires_after(write_timeout);
        http::async_write(m_stream, response, use_fiber(error));
    }

    void wait_for_pending_requests() {
        while (!m_pending.empty()) {
            wait_for_change(std::chrono::steady_clock::now() + write_timeout);
        }
    }

    /// Shuts down sending, then reads until the caller closes: closing with unread bytes would reset the
    /// connection and discard the last response.
    void close_gracefully() {
        boost::system::error_code ignored;
        m_closing = true;
        if (!m_is_disconnected) {
            m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            auto const deadline = std::chrono::steady_clock::now() + linger_timeout;
            while (!m_is_disconnected && std::chrono::steady_clock::now() < deadline) {
                m_unparsed.clear();
                wait_for_readable();
                wait_for_change(deadline);
            }
        }
        m_is_disconnected = true;
        m_stream.close();
    }

    caller_server& m_server;
    beast::tcp_stream m_stream;
    std::string m_unparsed; ///< Bytes received and not parsed yet.
    int m_skipped_empty_lines = 0;
    std::deque<std::shared_ptr<pending_request>> m_pending;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_is_waiting_for_readable = false;
    bool m_in_request = false;
    bool m_is_request_waiting = false; ///< A request was read and may not run beside those in progress.
    bool m_has_read_request = false;
    steady_time m_first_request_deadline = steady_time::max();
    bool m_pending_may_run_concurrently = true;
    bool m_writing = false;
    bool m_is_disconnected = false; ///< The caller closed, or the connection broke.
    bool m_closing = false;         ///< The server closes after the pending responses.
};

caller_server::caller_server(io_thread& thread, endpoint const& address, caller_server_callbacks callbacks)
    : m_thread(thread), m_callbacks(std::move(callbacks)),
      m_acceptor(thread, address, listener_sharing::exclusive) {}

caller_server::~caller_server() = default;

void caller_server::start() {
    m_acceptor.start([this](asio::ip::tcp::socket socket) { start_connection(std::move(socket)); });
}

void caller_server::start_connection(asio::ip::tcp::socket socket) {
    configure_socket(socket);
    boost::system::error_code error;
    socket.non_blocking(true, error);
    auto const opened = std::make_shared<connection>(*this, std::move(socket));
    m_connections.insert(opened);
    m_thread.spawn([this, opened] {
        opened->run();
        m_connections.erase(opened);
    });
}

void caller_server::stop_listening() {
    m_draining = true;
    m_acceptor.drain_and_close();
    for (auto const& each : m_connections) {
        each->close_if_idle();
    }
}

void caller_server::interrupt_requests() {
    for (auto const& each : m_connections) {
        each->interrupt_requests();
    }
}

} // namespace pomelospread
