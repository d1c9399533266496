// Options that every TCP connection of the system is given.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace pomelospread {

/// Bytes that the other end does not acknowledge for this long end the connection.
constexpr std::chrono::milliseconds tcp_user_timeout{2000};
/// A silent connection is probed after this long, then at this interval.
constexpr std::chrono::seconds keep_alive_interval{1};

/// No delay, keep-alive probes and the user timeout of RFC 5482, so that a connection that lost its path
/// ends with an error. Options that the system refuses are left as they are.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace pomelospread
