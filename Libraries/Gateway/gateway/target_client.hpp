// Sends requests to targets. Each call makes a single attempt, never resends by itself, and returns a
// response only if it is complete and belongs to the request.
#pragma once

#include "base/endpoint.hpp"
#include "gateway/forwarding_wire_format.hpp"
#include "gateway/response_memory.hpp"
#include "protocol/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace pomelospread {

/// What is sent. A response to a request must bear the target's signature; one to a load probe need not.
enum class exchange_kind : std::uint8_t { request, load_probe };

/// What the client observed of one exchange, whether an attempt or a load probe: how much reached the target
/// and what came back. `attempt_outcome` rates an attempt for the choice of later targets.
enum class exchange_outcome : std::uint8_t {
    response_received, ///< The target's complete response, which the caller may receive.
    /// The target's complete response, with a status that tells callers that the request was not run, which
    /// the target does not state. The request may have run, and the response must not reach the caller.
    status_withheld,
    not_sent,     ///< No byte was sent: cancelled, past the deadline, or no connection.
    not_executed, ///< The target reported that it did not run the request.
    incomplete,   ///< The request may have run, but no usable response arrived.
};

/// What the responses of one exchange state about the target's availability, whichever request they answer.
struct target_notice {
    bool leaving = false;
    /// A refusal (503 or 429) asked for no request during this time from its arrival.
    std::optional<std::chrono::nanoseconds> retry_after;
    std::string invalid_retry_after; ///< The beginning of a value that states no such time; empty for none.
};

struct exchange_report {
    exchange_outcome outcome = exchange_outcome::incomplete;
    std::optional<http_response> response; ///< Set when `response_received` or `status_withheld`.
    std::string failure_reason;            ///< For the log; empty when `response_received`.
    std::optional<load_report> target_load_report;
    bool wrong_target = false; ///< Status 421: another target has the address.
    target_notice notice;
};

struct target_client_limits {
    std::chrono::milliseconds connect_timeout{400}; ///< Covers several round trips and one lost packet.
    std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
    /// Low enough that several homes together stay far below the number of connections that a target accepts.
    std::size_t max_idle_connections_per_target = 16;
    /// An idle connection is not reused in this last part of the target's own idle timeout, when the target
    /// might close it.
    std::chrono::milliseconds idle_timeout_margin{1500};
    std::chrono::milliseconds default_idle_timeout{8000}; ///< For a target that states no timeout.
};

namespace detail {

/// The idle timeout that a target states as `timeout=` in the value of the Keep-Alive header field, in whole
/// seconds from 0 to 3600; a value beyond counts as the nearest. Returns nothing when it states no number.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_keep_alive_timeout(std::string_view text);

} // namespace detail

/// The connections of one thread to targets.
class target_client {
public:
    target_client(boost::asio::io_context& io, forwarding_wire_format const& wire_format,
                  target_client_limits limits);
    ~target_client();

    class connection;

    /// An attempt in progress, which another fiber of the thread can cancel.
    class exchange_handle {
    public:
        void cancel();
        [[nodiscard]] bool is_cancelled() const noexcept { return m_cancelled; }
        /// Whether bytes of the request may have reached the target.
        [[nodiscard]] bool is_sent() const noexcept { return m_sent; }

    private:
        friend class target_client;
        std::shared_ptr<connection> m_connection;
        bool m_cancelled = false;
        bool m_sent = false;
    };

    /// Makes one attempt. `request` is sent unchanged; after `deadline` the attempt fails.
    exchange_report exchange(std::string const& target_id, endpoint const& address,
                             std::shared_ptr<http_request const> const& request, steady_time deadline,
                             exchange_handle& handle, exchange_kind kind = exchange_kind::request);

    /// Closes the idle connections of the target.
    void close_idle_connections(std::string const& target_id);
    /// Closes the idle connections of targets for which `should_keep(id, address)` returns false.
    template<class Predicate>
    void close_idle_connections_unless(Predicate should_keep) {
        std::erase_if(m_idle_connections,
                      [&](auto const& entry) { return !should_keep(entry.first.first, entry.first.second); });
    }

private:
    /// Target id and address; a target may return under its id at another address.
    using connection_key = std::pair<std::string, endpoint>;

    /// A connection on which no attempt with this request id was refused, or nullptr.
    [[nodiscard]] std::shared_ptr<connection> acquire_idle_connection(connection_key const& key,
                                                                      std::string_view request_id);
    [[nodiscard]] exchange_report read_response(connection& target_connection, http_request const& request,
                                                exchange_kind kind, bool& reusable);
    void read_notice(http_response const& response, target_notice& notice) const;
    [[nodiscard]] exchange_report classify_response(http_response response, bool matches_request,
                                                    exchange_kind kind) const;

    boost::asio::io_context& m_io;
    forwarding_wire_format const& m_wire_format;
    target_client_limits m_limits;
    response_memory m_response_memory;
    std::map<connection_key, std::deque<std::shared_ptr<connection>>> m_idle_connections;
};

} // namespace pomelospread
