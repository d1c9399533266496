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

/// The counters of the bytes sent within the own zone and to other zones, by `datagram_kind`.
constexpr std::array<std::pair<counter, counter>, 6> byte_counters{
    {{counter::heartbeat_bytes_own_zone, counter::heartbeat_bytes_other_zones},
     {counter::announcement_bytes_own_zone, counter::announcement_bytes_other_zones},
     {counter::list_update_bytes_own_zone, counter::list_update_bytes_other_zones},
     {counter::load_update_bytes_own_zone, counter::load_update_bytes_other_zones},
     {counter::token_bytes_own_zone, counter::token_bytes_other_zones},
     {counter::announcement_bytes_own_zone, counter::announcement_bytes_other_zones}}};

} // namespace

fleet_datagram_socket::fleet_datagram_socket(asio::io_context& io, endpoint const& local, metrics& counters,
                                             std::function<bool(endpoint const&)> is_in_own_zone)
    : m_socket(io), m_counters(counters), m_is_in_own_zone(std::move(is_in_own_zone)) {
    auto const address = to_asio_endpoint(local);
    m_socket.open(asio::ip::udp::v4());
    m_socket.bind({address.address(), address.port()});
    m_socket.non_blocking(true);
}

void fleet_datagram_socket::send_to_all(fleet_datagram message, std::span<endpoint const> receivers) {
    auto const now = std::chrono::steady_clock::now().time_since_epoch();
    message.sent_ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
    auto const bytes = encode_datagram(message);
    for (auto const& receiver : receivers) {
        send_bytes(bytes, message.kind, receiver);
    }
}

void fleet_datagram_socket::send_bytes(std::string const& bytes, datagram_kind kind, endpoint const& to) {
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
    auto const& [own_zone, other_zones] = byte_counters.at(static_cast<std::size_t>(kind));
    m_counters.add(m_is_in_own_zone(to) ? own_zone : other_zones, bytes.size());
}

void fleet_datagram_socket::receive(
    std::function<void(fleet_datagram const&, endpoint const& sender)> const& handler) {
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
            handler(decode_datagram({buffer.data(), count}), {sender.address().to_string(), sender.port()});
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
