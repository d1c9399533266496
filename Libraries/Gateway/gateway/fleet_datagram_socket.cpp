#include "gateway/fleet_datagram_socket.hpp"

#include "base/log.hpp"
#include "transport/listener.hpp"
#include "transport/use_fiber.hpp"

#include <boost/fiber/operations.hpp>

#include <array>

namespace pomelospread {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_datagram_bytes = 1400; // Fits an Ethernet frame.
constexpr auto receive_retry_delay = std::chrono::milliseconds(50);

} // namespace

fleet_datagram_socket::fleet_datagram_socket(asio::io_context& io, endpoint const& local, metrics& counters)
    : m_socket(io), m_counters(counters) {
    auto const address = to_asio_endpoint(local);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({address.address(), address.port()});
    m_socket.non_blocking(true);
}

void fleet_datagram_socket::send_to_all(fleet_datagram const& message, std::span<endpoint const> receivers) {
    auto const bytes = encode_datagram(message);
    for (auto const& receiver : receivers) {
        send_bytes(bytes, receiver);
    }
}

void fleet_datagram_socket::send_bytes(std::string const& bytes, endpoint const& to) {
    if (bytes.size() > max_datagram_bytes) {
        log_line(log_level::warning, "datagram_too_long")
            .field("bytes", static_cast<std::uint64_t>(bytes.size()))
            .write();
        return;
    }
    auto const remote = to_asio_endpoint(to);
    // A failed send is treated like a lost datagram: later datagrams carry the same state.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(bytes), {remote.address(), remote.port()}, 0, ignored);
    m_counters.add(counter::heartbeats_sent);
    m_counters.add(counter::heartbeat_bytes_sent, bytes.size());
}

void fleet_datagram_socket::receive(
    std::function<void(fleet_datagram const&, std::string const& sender)> const& handler) {
    std::array<char, 2048> buffer{};
    while (!m_closed) {
        boost::system::error_code error;
        asio::ip::udp::endpoint sender;
        auto const count = m_socket.async_receive_from(asio::buffer(buffer), sender, use_fiber(error));
        if (m_closed) {
            return;
        }
        if (error) {
            boost::this_fiber::sleep_for(receive_retry_delay);
            continue;
        }
        m_counters.add(counter::heartbeats_received);
        m_counters.add(counter::heartbeat_bytes_received, count);
        try {
            handler(decode_datagram({buffer.data(), count}), sender.address().to_string());
        } catch (std::exception const& failure) {
            m_counters.add(counter::datagrams_rejected);
            log_line(log_level::warning, "datagram_rejected").field("reason", failure.what()).write();
        }
    }
}

void fleet_datagram_socket::close() {
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pomelospread
