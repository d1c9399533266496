// Opens the listening sockets of the servers.
#pragma once

#include "base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pomelospread {

/// Converts an endpoint to the type that Asio uses.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_asio_endpoint(endpoint const& value);

enum class listener_sharing { exclusive, shared };

/// Binds and listens. With `shared`, several listeners may bind the same address, each with its own accept
/// queue.
/// Throws `connect_failed` when the address cannot be bound.
[[nodiscard]] boost::asio::ip::tcp::acceptor open_listener(boost::asio::io_context& io,
                                                           endpoint const& address, listener_sharing sharing);

} // namespace pomelospread
