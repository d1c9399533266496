// Sends and receives the datagrams of instances.
#pragma once

#include "base/endpoint.hpp"
#include "base/metrics.hpp"
#include "gateway/fleet_messages.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <string>

namespace pomelospread {

/// Belongs to one thread. Nothing that arrives or fails to leave ends more than itself.
class fleet_datagram_socket {
public:
    /// Throws `boost::system::system_error` when the address cannot be bound.
    fleet_datagram_socket(boost::asio::io_context& io, endpoint const& local, metrics& counters);

    void send(fleet_datagram const& message, endpoint const& to) { send_bytes(encode_datagram(message), to); }
    /// Encodes the message once.
    void send_to_all(fleet_datagram const& message, std::span<endpoint const> receivers);
    /// Passes every message to `take` with its sender's IP number, until `close`. Suspends the calling fiber.
    void receive(std::function<void(fleet_datagram const&, std::string const& sender)> const& take);
    void close();

private:
    void send_bytes(std::string const& bytes, endpoint const& to);

    boost::asio::ip::udp::socket m_socket;
    metrics& m_counters;
    bool m_closed = false;
};

} // namespace pomelospread
