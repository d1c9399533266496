// A target that sends a response a second time.
#pragma once

#include "base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pomelospread {

/// When a target sends the copy of an earlier response of the same connection.
enum class copy_time : std::uint8_t {
    after_the_response,      ///< 20 ms after it, before the next request.
    with_the_next_request,   ///< As soon as the next request arrived, before its response.
    during_the_next_request, ///< 50 ms after the next request arrived, before its response.
};

/// A target that sends the n-th of `responses` when it has read the n-th request of all its connections, and
/// the response number `copied`, by default the previous one, once more on the connection that it was sent
/// on.
class repeating_target {
public:
    explicit repeating_target(std::vector<std::string> responses,
                              copy_time time = copy_time::with_the_next_request,
                              std::optional<std::size_t> copied = std::nullopt)
        : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}), m_copy_time(time), m_copied(copied),
          m_thread([this, responses = std::move(responses)] { serve(responses); }) {}
    ~repeating_target() {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        ::shutdown(m_socket_handle, SHUT_RDWR);
        m_thread.join();
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    [[nodiscard]] std::size_t connection_count() const { return m_connection_count; }

private:
    void serve(std::vector<std::string> const& responses) {
        boost::system::error_code error;
        std::size_t next = 0;
        while (next < responses.size()) {
            boost::asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket, error);
            if (error) {
                return;
            }
            m_socket_handle = socket.native_handle();
            ++m_connection_count;
            auto const first = next;
            std::string unread;
            while (true) {
                auto const length =
                    boost::asio::read_until(socket, boost::asio::dynamic_buffer(unread), "\r\n\r\n", error);
                if (error || next == responses.size()) {
                    m_socket_handle = -1;
                    break; // The client closed.
                }
                unread.erase(0, length);
                auto const copied = m_copied.value_or(next - 1);
                if (m_copy_time != copy_time::after_the_response && copied >= first && copied < next) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(
                        m_copy_time == copy_time::during_the_next_request ? 50 : 0));
                    boost::asio::write(socket, boost::asio::buffer(responses[copied]), error);
                    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // The copy arrives by itself.
                }
                boost::asio::write(socket, boost::asio::buffer(responses[next]), error);
                ++next;
                if (m_copy_time == copy_time::after_the_response && m_copied.value_or(next - 1) == next - 1) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                    boost::asio::write(socket, boost::asio::buffer(responses[next - 1]), error);
                }
            }
        }
    }

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    copy_time m_copy_time;
    std::optional<std::size_t> m_copied;
    std::atomic<std::size_t> m_connection_count{0};
    std::atomic<int> m_socket_handle{-1};
    std::thread m_thread;
};

inline constexpr copy_time copy_times[] = {copy_time::after_the_response, copy_time::with_the_next_request,
                                           copy_time::during_the_next_request};

inline std::string response_with(std::string const& header_fields, std::string const& body,
                                 std::string const& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\n" + header_fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace pomelospread
