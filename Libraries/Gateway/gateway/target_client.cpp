#include "gateway/target_client.hpp"

#include "gateway/response_meaning.hpp"
#include "protocol/message_reading.hpp"
#include "protocol/refused_request_ids.hpp"
#include "transport/listener.hpp"
#include "transport/socket_options.hpp"
#include "transport/use_fiber.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <mutex>

namespace pomelospread {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// How many interim (1xx) responses and responses to other requests are skipped before this request's own.
constexpr int max_skipped_responses = 3;
/// Of a header field's value that cannot be parsed.
constexpr std::size_t max_logged_value_bytes = 64;
/// A longer idle timeout counts as this one: within an hour, a connection that is of use is used again.
constexpr std::int64_t max_keep_alive_timeout_s = 3600;

} // namespace

std::optional<std::chrono::milliseconds> detail::parse_keep_alive_timeout(std::string_view text) {
    auto const position = text.find("timeout=");
    if (position == std::string_view::npos) {
        return std::nullopt;
    }
    std::int64_t seconds = 0;
    auto const digits = text.substr(position + 8);
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, max_keep_alive_timeout_s));
}

class target_client::connection {
public:
    explicit connection(asio::io_context& io) : stream(io) {}

    /// False when the target closed the connection or sent bytes that belong to no request.
    [[nodiscard]] bool is_reusable() {
        char byte = 0;
        auto const received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buffer.size() == 0;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_buffered_bytes};
    refused_request_ids refused_ids;
    steady_time usable_until{};
    /// Suspends the calling fiber until the request in progress is written. Returns false if that failed.
    [[nodiscard]] bool wait_until_written() {
        std::unique_lock lock(mutex);
        write_ended.wait(lock, [this] { return !is_writing; });
        return is_written;
    }
    void finish_write(bool succeeded) {
        is_writing = false;
        is_written = succeeded;
        write_ended.notify_all();
    }

    bool is_writing = false;
    bool is_written = true; ///< Completely.
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable write_ended;
    target_notice notice; ///< Of the exchange in progress.
};

void target_client::exchange_handle::cancel() {
    m_cancelled = true;
    if (m_connection != nullptr) {
        m_connection->stream.close();
    }
}

target_client::target_client(asio::io_context& io, forwarding_wire_format const& wire_format,
                             target_client_limits limits)
    : m_io(io), m_wire_format(wire_format), m_limits(limits) {}

target_client::~target_client() = default;

std::shared_ptr<target_client::connection>
target_client::acquire_idle_connection(connection_key const& key, std::string_view request_id) {
    auto const found = m_idle_connections.find(key);
    if (found == m_idle_connections.end()) {
        return nullptr;
    }
    auto const now = std::chrono::steady_clock::now();
    while (!found->second.empty()) {
        auto target_connection = std::move(found->second.back());
        found->second.pop_back();
        if (target_connection->usable_until > now && target_connection->is_reusable() &&
            !target_connection->refused_ids.contains(request_id)) {
            return target_connection;
        }
    }
    return nullptr;
}

void target_client::close_idle_connections(std::string const& target_id) {
    std::erase_if(m_idle_connections,
                  [&target_id](auto const& entry) { return entry.first.first == target_id; });
}

exchange_report target_client::exchange(std::string const& target_id, endpoint const& address,
                                        std::shared_ptr<http_request const> const& request,
                                        steady_time deadline, exchange_handle& handle, exchange_kind kind) {
    boost::system::error_code error;
    // The attempt's fiber starts some time after the target was chosen; much later if the process was paused.
    if (handle.m_cancelled || std::chrono::steady_clock::now() >= deadline) {
        return {.outcome = exchange_outcome::not_sent,
                .failure_reason = handle.m_cancelled ? "cancelled" : "no time left"};
    }
    auto target_connection = acquire_idle_connection({target_id, address},
                                                     header_field(*request, m_wire_format.request_id_header));
    if (target_connection == nullptr) {
        target_connection = std::make_shared<connection>(m_io);
        handle.m_connection = target_connection;
        target_connection->stream.expires_at(
            std::min(deadline, std::chrono::steady_clock::now() + m_limits.connect_timeout));
        target_connection->stream.async_connect(to_asio_endpoint(address), use_fiber(error));
        if (error || handle.m_cancelled) {
            handle.m_connection.reset();
            return {.outcome = exchange_outcome::not_sent,
                    .failure_reason = handle.m_cancelled ? "cancelled" : "no connection: " + error.message()};
        }
        configure_socket(target_connection->stream.socket());
        // Closing resets the connection, so that the system drops what it has not delivered. Otherwise a
        // request whose path was lost reaches the target when the path is back, seconds after its caller was
        // answered.
        target_connection->stream.socket().set_option(asio::socket_base::linger(true, 0), error);
    }
    handle.m_connection = target_connection;
    handle.m_sent = true;
    target_connection->is_writing = true;
    target_connection->is_written = false;
    target_connection->notice = {};
    target_connection->stream.expires_at(deadline);
    // Writes concurrently with the read: a target may respond before it has read a long body.
    http::async_write(target_connection->stream, *request,
                      [target_connection, request](boost::system::error_code failure, std::size_t /*bytes*/) {
                          target_connection->finish_write(!failure);
                      });
    bool reusable = false;
    auto report = read_response(*target_connection, *request, kind, reusable);
    report.notice = target_connection->notice;
    handle.m_connection.reset();
    if (!reusable || report.notice.leaving || !target_connection->is_written || handle.m_cancelled) {
        target_connection->stream.close();
        return report;
    }
    target_connection->stream.expires_never();
    auto& idle = m_idle_connections[{target_id, address}];
    idle.push_back(std::move(target_connection));
    while (idle.size() > m_limits.max_idle_connections_per_target) {
        idle.pop_front();
    }
    return report;
}

exchange_report target_client::read_response(connection& target_connection, http_request const& request,
                                             exchange_kind kind, bool& reusable) {
    auto const request_id = header_field(request, m_wire_format.request_id_header);
    bool is_repeating = false;
    for (int skipped = 0; skipped <= max_skipped_responses; ++skipped) {
        http::response_parser<http::string_body> parser;
        parser.body_limit(m_limits.max_response_bytes);
        parser.skip(request.method() == http::verb::head);
        boost::system::error_code error;
        response_memory::share memory(m_response_memory);
        read_message(target_connection.stream, target_connection.buffer, parser, error,
                     [&memory](std::size_t body_bytes) { return memory.grow_to(body_bytes); });
        if (parser.is_header_done()) {
            read_notice(parser.get(), target_connection.notice);
        }
        if (error) {
            return {.outcome = exchange_outcome::incomplete,
                    .failure_reason = error == beast::error::timeout
                                          ? "no answer in time"
                                          : "incomplete response: " + error.message()};
        }
        bool const ends_at_close = parser.need_eof();
        // The first call on a connection that was reset gets the error, which may be the write; the read then
        // sees an end like that of a whole response.
        if (ends_at_close && !target_connection.wait_until_written()) {
            return {.outcome = exchange_outcome::incomplete,
                    .failure_reason = "the connection failed before the end of a response without a length"};
        }
        bool const is_persistent = parser.keep_alive() && !ends_at_close;
        auto response = parser.release();
        if (response.result_int() < 200) {
            continue;
        }
        auto const response_id = header_field(response, m_wire_format.request_id_header);
        if (!response_id.empty() && response_id != request_id) {
            // A duplicate or late response to an earlier request; the own response of this request, or of
            // this load probe, which has no id, follows.
            is_repeating = true;
            if (!is_persistent) {
                return {.outcome = exchange_outcome::incomplete,
                        .failure_reason = "the response belongs to another request"};
            }
            continue;
        }
        auto const target_timeout = detail::parse_keep_alive_timeout(header_field(response, "Keep-Alive"));
        auto const idle_timeout =
            target_timeout ? *target_timeout - m_limits.idle_timeout_margin : m_limits.default_idle_timeout;
        reusable =
            is_persistent && skipped == 0 && target_connection.buffer.size() == 0 && idle_timeout.count() > 0;
        target_connection.usable_until = std::chrono::steady_clock::now() + idle_timeout;
        bool const is_named = !response_id.empty();
        bool const matches_request = request_id.empty() || is_named;
        if (is_repeating && !matches_request) {
            return {.outcome = exchange_outcome::incomplete,
                    .failure_reason = "a response without an id behind one to another request"};
        }
        auto report = classify_response(std::move(response), matches_request, kind);
        if (report.outcome == exchange_outcome::not_executed && is_named) {
            target_connection.refused_ids.add(request_id);
        }
        // A second copy of a refusal without an id could not be told from the refusal of the next request.
        if (report.outcome == exchange_outcome::incomplete ||
            (report.outcome == exchange_outcome::not_executed && !is_named) ||
            target_connection.refused_ids.is_full()) {
            reusable = false;
        }
        return report;
    }
    return {.outcome = exchange_outcome::incomplete, .failure_reason = "only responses to other requests"};
}

void target_client::read_notice(http_response const& response, target_notice& notice) const {
    if (response.result_int() == 421) {
        return; // Another target sent it.
    }
    notice.leaving = notice.leaving || header_field(response, m_wire_format.leaving_header) == "1";
    auto const retry_after = header_field(response, m_wire_format.retry_after_header);
    bool const is_refusal = response.result_int() == 503 || response.result_int() == 429;
    if (!is_refusal || retry_after.empty()) {
        return;
    }
    if (auto const pause = m_wire_format.parse_retry_after(retry_after)) {
        notice.retry_after = std::max(notice.retry_after.value_or(*pause), *pause);
    } else {
        notice.invalid_retry_after = retry_after.substr(0, max_logged_value_bytes);
    }
}

exchange_report target_client::classify_response(http_response response, bool matches_request,
                                                 exchange_kind kind) const {
    exchange_report report;
    report.target_load_report = m_wire_format.parse_load(header_field(response, m_wire_format.load_header));
    if (report.target_load_report) {
        report.target_load_report->warm_up_remaining =
            m_wire_format.parse_warm_up(header_field(response, m_wire_format.warm_up_header));
    }
    auto const status = response.result_int();
    auto const meaning = interpret_response(
        {.status = status,
         .states_not_executed = !header_field(response, m_wire_format.not_started_header).empty(),
         .matches_request = matches_request,
         .is_signed = !header_field(response, m_wire_format.target_signature_header).empty(),
         .is_encoded = !header_field(response, "Content-Encoding").empty()});
    if (meaning == response_meaning::not_executed) {
        report.outcome = exchange_outcome::not_executed;
        report.wrong_target = status == 421;
        report.failure_reason = "the target did not run it, status " + std::to_string(status);
        return report;
    }
    if (kind == exchange_kind::load_probe) {
        report.outcome =
            report.target_load_report ? exchange_outcome::response_received : exchange_outcome::incomplete;
        report.failure_reason = report.target_load_report ? "" : "no load report in the response";
        report.response = std::move(response);
        return report;
    }
    if (meaning == response_meaning::foreign) {
        report.failure_reason = "the response is not the target's own, status " + std::to_string(status);
        return report;
    }
    if (meaning == response_meaning::withheld) {
        report.outcome = exchange_outcome::status_withheld;
        report.failure_reason =
            "status " + std::to_string(status) + " without a statement that it did not run";
        report.response = std::move(response);
        return report;
    }
    report.outcome = exchange_outcome::response_received;
    report.response = std::move(response);
    return report;
}

} // namespace pomelospread
