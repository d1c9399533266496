#include "transport/listener.hpp"

#include "base/errors.hpp"

#include <sys/socket.h>

namespace pomelospread {

namespace asio = boost::asio;

namespace {

constexpr int accept_queue_length = 4096;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

asio::ip::tcp::endpoint to_asio_endpoint(endpoint const& value) {
    return {asio::ip::make_address(value.address), value.port};
}

asio::ip::tcp::acceptor open_listener(asio::io_context& io, endpoint const& address,
                                      listener_sharing sharing) {
    auto const local = to_asio_endpoint(address);
    try {
        asio::ip::tcp::acceptor acceptor(io);
        acceptor.open(local.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.set_option(reuse_port(sharing == listener_sharing::shared));
        acceptor.bind(local);
        acceptor.listen(accept_queue_length);
        acceptor.non_blocking(true);
        return acceptor;
    } catch (boost::system::system_error const& failure) {
        throw connect_failed("listening on " + to_string(address) + ": " + failure.code().message());
    }
}

} // namespace pomelospread
