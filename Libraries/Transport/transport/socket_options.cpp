#include "transport/socket_options.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pomelospread {

namespace {

void set_tcp_option(int socket, int option, int value) {
    ::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value));
}

} // namespace

void configure_socket(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    auto const native = socket.native_handle();
    set_tcp_option(native, TCP_USER_TIMEOUT, static_cast<int>(tcp_user_timeout.count()));
    set_tcp_option(native, TCP_KEEPIDLE, static_cast<int>(keep_alive_interval.count()));
    set_tcp_option(native, TCP_KEEPINTVL, static_cast<int>(keep_alive_interval.count()));
    set_tcp_option(native, TCP_KEEPCNT, keep_alive_probe_count);
}

} // namespace pomelospread
