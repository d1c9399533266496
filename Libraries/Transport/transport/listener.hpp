// Opens the sockets on which the system's servers accept connections.
#pragma once

#include "base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace pomelospread {

/// The form in which Asio takes an address.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_asio_endpoint(endpoint const& value);

enum class listener_sharing { exclusive, shared };

/// Binds and listens. `shared` lets several listeners have the address, each with its own accept queue.
/// Throws `connect_failed` when the address cannot be bound.
[[nodiscard]] boost::asio::ip::tcp::acceptor open_listener(boost::asio::io_context& io,
                                                           endpoint const& address, listener_sharing sharing);

} // namespace pomelospread
