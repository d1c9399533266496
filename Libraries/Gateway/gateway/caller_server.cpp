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

/// Requests of one connection in progress at once.
constexpr std::size_t max_overlap = 16;
/// Unparsed bytes of one connection; a caller that sends more waits for its requests to be taken.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
/// A caller that takes no byte of its answer for this long is given up.
constexpr auto write_timeout = std::chrono::seconds(10);
/// How long a closing connection still reads, so that its last answer is not lost to a reset.
constexpr auto linger = std::chrono::milliseconds(500);

http_response short_answer(unsigned status, std::string_view what) {
    return make_response(status, "application/json", "{\"error\":\"" + std::string(what) + "\"}\n");
}

} // namespace

void disconnect_notifier::notify_disconnected() {
    if (m_is_disconnected) {
        return;
    }
    m_is_disconnected = true;
    if (m_disconnect_handler) {
        m_disconnect_handler();
    }
}

class caller_server::connection : public std::enable_shared_from_this<connection> {
public:
    connection(caller_server& server, asio::ip::tcp::socket socket)
        : m_server(server), m_stream(std::move(socket)) {}

    void run() {
        wait_for_readable();
        while (serve_next()) {
        }
        wait_for_pending();
        close_gracefully();
    }

    void close_if_idle() {
        if (m_pending.empty() && m_unparsed.empty() && !m_in_request) {
            m_closing = true;
            m_changed.notify_all();
        }
    }

private:
    struct pending_request {
        http_request request;
        disconnect_notifier watch;
        std::optional<http_response> response;
        bool keep_alive = true;
        bool head = false;
    };
    using parser = http::request_parser<http::string_body>;

    /// Reads whatever arrives, also while requests are in progress: this is how a caller's leaving shows.
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
                each->watch.notify_disconnected();
            }
        }
        m_changed.notify_all();
        wait_for_readable();
    }

    bool wait_for_change(steady_time deadline) {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_until(lock, deadline) == boost::fibers::cv_status::no_timeout;
    }

    /// Waits for the first byte of the next request. False when the connection is to be closed.
    bool wait_for_request() {
        auto idle_since = std::chrono::steady_clock::now();
        while (m_unparsed.empty()) {
            if (m_is_disconnected || m_closing) {
                return false;
            }
            if (!m_pending.empty()) {
                idle_since = std::chrono::steady_clock::now();
            }
            auto const deadline = idle_since + m_server.m_callbacks.limits().idle_timeout;
            if (!wait_for_change(deadline) && m_pending.empty() && m_unparsed.empty() &&
                std::chrono::steady_clock::now() >= idle_since + m_server.m_callbacks.limits().idle_timeout) {
                return false;
            }
        }
        return !m_closing;
    }

    bool serve_next() {
        if (!wait_for_request()) {
            return false;
        }
        m_in_request = true;
        auto const limits = m_server.m_callbacks.limits();
        parser reader;
        reader.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
        reader.body_limit(static_cast<std::uint64_t>(limits.max_body_bytes));
        reader.eager(true);
        auto const refusal = read_request(reader, limits);
        m_in_request = false;
        if (refusal != 0) {
            send_error_and_close(refusal);
            return false;
        }
        if (m_is_disconnected && !reader.is_done()) {
            return false;
        }
        auto const received = std::chrono::steady_clock::now();
        auto entry = std::make_shared<pending_request>();
        entry->request = reader.release();
        entry->keep_alive = entry->request.keep_alive();
        entry->head = entry->request.method() == http::verb::head;
        return start_request(entry, received);
    }

    /// Returns 0, or the status of the refusal that ends the connection.
    unsigned read_request(parser& reader, caller_limits const& limits) {
        auto const deadline = std::chrono::steady_clock::now() + limits.header_timeout;
        bool proceed_sent = false;
        while (!reader.is_done()) {
            boost::system::error_code error;
            auto const used = reader.put(asio::buffer(m_unparsed), error);
            m_unparsed.erase(0, used);
            wait_for_readable();
            if (reader.is_done()) {
                return 0;
            }
            if (error == http::error::header_limit) {
                return 431;
            }
            if (error == http::error::body_limit) {
                return 413;
            }
            if (error && error != http::error::need_more) {
                return 400;
            }
            if (reader.is_header_done() && !proceed_sent &&
                beast::iequals(reader.get()[http::field::expect], "100-continue")) {
                proceed_sent = true;
                send_continue();
            }
            if (used > 0 && !m_unparsed.empty()) {
                continue;
            }
            if (m_is_disconnected) {
                return 0;
            }
            if (!wait_for_change(deadline) && std::chrono::steady_clock::now() >= deadline) {
                return 408;
            }
        }
        return 0;
    }

    void send_continue() {
        boost::system::error_code error;
        http::response<http::empty_body> const proceed{http::status::continue_, 11};
        m_stream.expires_after(write_timeout);
        http::async_write(m_stream, proceed, use_fiber(error));
    }

    /// Starts a request as soon as those before it allow. False when it is the connection's last.
    bool start_request(std::shared_ptr<pending_request> const& entry, steady_time received) {
        bool const overlaps = m_server.m_callbacks.may_run_concurrently(entry->request);
        while (!m_pending.empty() &&
               (!overlaps || !m_pending_may_run_concurrently || m_pending.size() >= max_overlap)) {
            if (m_is_disconnected) {
                return false;
            }
            wait_for_change(std::chrono::steady_clock::now() + write_timeout);
        }
        if (m_is_disconnected) {
            return false;
        }
        m_pending_may_run_concurrently = overlaps;
        bool const last = !entry->keep_alive;
        m_pending.push_back(entry);
        m_server.m_thread.spawn(
            [self = shared_from_this(), entry, received] { self->process(*entry, received); });
        return !last;
    }

    void process(pending_request& entry, steady_time received) {
        entry.response = m_server.m_callbacks.handle(entry.request, entry.watch, received);
        entry.watch.clear_disconnect_handler();
        write_ready();
        m_changed.notify_all();
    }

    /// Writes the answers that are next in order; one fiber at a time.
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
        bool const nothing_behind = m_pending.size() == 1 && m_unparsed.empty() && !m_in_request;
        bool const keep = entry.keep_alive && !(m_server.m_draining && nothing_behind);
        if (!keep) {
            m_closing = true;
        }
        response.keep_alive(keep);
        boost::system::error_code error;
        m_stream.expires_after(write_timeout);
        if (entry.head) {
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
            each->watch.notify_disconnected();
        }
    }

    void send_error_and_close(unsigned status) {
        wait_for_pending();
        if (m_is_disconnected) {
            return;
        }
        log_line(log_level::info, "request_refused")
            .field("status", static_cast<std::int64_t>(status))
            .field("reason", "it could not be read")
            .write();
        auto response = short_answer(status, "request_not_read");
        response.keep_alive(false);
        boost::system::error_code error;
        m_stream.expires_after(write_timeout);
        http::async_write(m_stream, response, use_fiber(error));
    }

    void wait_for_pending() {
        while (!m_pending.empty()) {
            wait_for_change(std::chrono::steady_clock::now() + write_timeout);
        }
    }

    /// Closes in order: unread bytes at a close would reset the connection and lose the last answer.
    void close_gracefully() {
        boost::system::error_code ignored;
        m_closing = true;
        if (!m_is_disconnected) {
            m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            auto const deadline = std::chrono::steady_clock::now() + linger;
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
    std::string m_unparsed; ///< Received and not yet parsed.
    std::deque<std::shared_ptr<pending_request>> m_pending;
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_is_waiting_for_readable = false;
    bool m_in_request = false;
    bool m_pending_may_run_concurrently = true;
    bool m_writing = false;
    bool m_is_disconnected = false; ///< The caller closed, or the connection broke.
    bool m_closing = false;         ///< This side closes after the answers that are pending.
};

caller_server::caller_server(io_thread& thread, endpoint const& address, caller_server_callbacks service)
    : m_thread(thread), m_callbacks(std::move(service)),
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

} // namespace pomelospread
