// Sends requests to targets: one try a call, never a silent resend, and only answers that are whole and the
// request's own.
#pragma once

#include "base/endpoint.hpp"
#include "gateway/forwarding_wire_format.hpp"
#include "protocol/http_types.hpp"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace pomelospread {

/// What is sent: only a request's answer bears the target's mark.
enum class exchange_kind : std::uint8_t { request, load_probe };

/// What is known of a try.
enum class exchange_outcome : std::uint8_t {
    response_received, ///< A whole answer of the target, of any status.
    not_sent,          ///< No byte left: the connection could not be opened.
    not_executed,      ///< The target said that it did not run the request.
    incomplete,        ///< It may have run; no whole answer came.
};

struct exchange_report {
    exchange_outcome outcome = exchange_outcome::incomplete;
    std::optional<http_response> response; ///< Set when `response_received`.
    std::string failure_reason;            ///< For the log, unless answered.
    std::optional<load_report> load;
    bool wrong_target = false; ///< Another target has the address.
};

struct target_client_limits {
    std::chrono::milliseconds connect_timeout{400}; ///< Several round trips and one lost packet.
    std::size_t max_response_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_idle_connections_per_target =
        16; ///< Several homes stay far below the connections that a target accepts.
    /// Idle connections are given up this much before the target's own time-out could close them.
    std::chrono::milliseconds idle_timeout_margin{1500};
    std::chrono::milliseconds default_idle_timeout{8000}; ///< Where the target names no time-out.
};

/// Connections of one thread to targets.
class target_client {
public:
    target_client(boost::asio::io_context& io, forwarding_wire_format const& dialect,
                  target_client_limits limits);
    ~target_client();

    class connection;

    /// A try in progress, so that another fiber of the thread can end it.
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

    /// Tries once. `request` is sent as it is; `deadline` ends the wait.
    exchange_report exchange(std::string const& target_id, endpoint const& address,
                             std::shared_ptr<http_request const> const& request, steady_time deadline,
                             exchange_handle& handle, exchange_kind kind = exchange_kind::request);

    /// Closes idle connections of targets for which `keep(id, address)` says no.
    template<class Keep>
    void close_idle_connections_unless(Keep keep) {
        std::erase_if(m_idle_connections,
                      [&](auto const& entry) { return !keep(entry.first.first, entry.first.second); });
    }
    void set_max_idle_connections_per_target(std::size_t count) noexcept {
        m_limits.max_idle_connections_per_target = count;
    }

private:
    /// A target may come back under its id at another address.
    using connection_key = std::pair<std::string, endpoint>;

    [[nodiscard]] std::shared_ptr<connection> acquire_idle_connection(connection_key const& key);
    [[nodiscard]] exchange_report read_response(connection& open, http_request const& request,
                                                exchange_kind kind, bool& reusable);
    [[nodiscard]] exchange_report classify_response(http_response response, bool is_own,
                                                    exchange_kind kind) const;

    boost::asio::io_context& m_io;
    forwarding_wire_format const& m_wire_format;
    target_client_limits m_limits;
    std::map<connection_key, std::deque<std::shared_ptr<connection>>> m_idle_connections;
};

} // namespace pomelospread
