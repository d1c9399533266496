// Socket options of every TCP connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>

namespace pomelospread {

/// A connection ends with an error when sent bytes stay unacknowledged for this long.
constexpr std::chrono::milliseconds tcp_user_timeout{2000};
/// An idle connection is probed after this time and then at this interval.
constexpr std::chrono::seconds keep_alive_interval{1};
/// An idle connection ends with an error after this many unanswered probes. The user timeout covers only sent
/// bytes, and the system's default of nine probes would take ten seconds.
constexpr int keep_alive_probe_count = 2;

/// Sets TCP_NODELAY, and keep-alive probes and the user timeout of RFC 5482, so that a connection whose
/// network path is lost ends with an error. An option that the operating system rejects keeps its previous
/// value.
void configure_socket(boost::asio::ip::tcp::socket& socket);

} // namespace pomelospread
