// Sends and receives the datagrams between instances.
#pragma once

#include "base/endpoint.hpp"
#include "base/metrics.hpp"
#include "gateway/fleet_messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <string>
#include <utility>

namespace pomelospread {

/// Used on one thread. A malformed datagram or a failed send affects only that datagram.
class fleet_datagram_socket {
public:
    /// Throws `boost::system::system_error` when the address cannot be bound.
    /// `is_in_own_zone` tells for the counters of bytes whether a receiver is in this instance's zone.
    fleet_datagram_socket(boost::asio::io_context& io, endpoint const& local, metrics& counters,
                          std::function<bool(endpoint const&)> is_in_own_zone);

    void send(fleet_datagram message, endpoint const& to) {
        send_to_all(std::move(message), std::span(&to, 1));
    }
    /// Stamps the message with the time and encodes it once.
    void send_to_all(fleet_datagram message, std::span<endpoint const> receivers);
    /// Passes every message and its sender to `handler` until `close`. Suspends the calling fiber.
    void receive(std::function<void(fleet_datagram const&, endpoint const& sender)> const& handler);
    void close();

private:
    void send_bytes(std::string const& bytes, datagram_kind kind, endpoint const& to);

    boost::asio::ip::udp::socket m_socket;
    metrics& m_counters;
    std::function<bool(endpoint const&)> m_is_in_own_zone;
    bool m_closed = false;
};

} // namespace pomelospread
