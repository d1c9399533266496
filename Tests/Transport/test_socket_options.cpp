#include "transport/socket_options.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace pomelospread;

namespace {

int tcp_option(boost::asio::ip::tcp::socket& socket, int option) {
    int value = 0;
    socklen_t size = sizeof(value);
    ::getsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, &size);
    return value;
}

} // namespace

TEST_GROUP(socket_options){};

// An instance counts as connected again three seconds after its connections went silent.
TEST(socket_options, a_silent_idle_connection_does_not_outlive_three_seconds) {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    configure_socket(socket);
    CHECK(tcp_option(socket, TCP_KEEPIDLE) +
              tcp_option(socket, TCP_KEEPCNT) * tcp_option(socket, TCP_KEEPINTVL) <=
          3);
}
