// A target, peer or platform that sends bytes without end.
#pragma once

#include "base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace pomelospread {

namespace endless {

/// Answers one request with `start` and then `repeated` until the client closes, or for 10 s.
class endless_sender {
public:
    endless_sender(std::string start, std::string repeated, std::chrono::milliseconds pause)
        : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}),
          m_thread([this, start = std::move(start), repeated = std::move(repeated), pause] {
              send(start, repeated, pause);
          }) {}
    ~endless_sender() { m_thread.join(); }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    [[nodiscard]] std::size_t sent_bytes() const { return m_sent_bytes; }

private:
    void send(std::string const& start, std::string const& repeated, std::chrono::milliseconds pause) {
        boost::system::error_code error;
        boost::asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        std::string request;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
        boost::asio::write(socket, boost::asio::buffer(start), error);
        auto const give_up = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!error && std::chrono::steady_clock::now() < give_up) {
            m_sent_bytes += boost::asio::write(socket, boost::asio::buffer(repeated), error);
            std::this_thread::sleep_for(pause);
        }
    }

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent_bytes{0};
    std::thread m_thread;
};

struct endless_response {
    char const* name;
    std::string start;
    std::string repeated;
};

inline std::string const ok = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n";

inline endless_response const endless_responses[] = {
    {"no status line", "", std::string(1024, 'a')},
    {"a header field", ok + "X: ", std::string(1024, 'a')},
    {"header fields", ok, "X: a\r\n"},
    {"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n"},
    {"a chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n5;x=", std::string(1024, 'a')},
    {"a chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", std::string(1024, '0')},
    {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + std::string(1024, 'a') + "\r\n"},
    {"trailer fields", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: a\r\n"},
    {"a body without a length", ok + "\r\n", std::string(1024, 'a')},
    {"a body beyond the limit", ok + "Content-Length: 99999999999\r\n\r\n", std::string(1024, 'a')},
    {"a body that begins with the header", ok + "Content-Length: 99999999999\r\n\r\na",
     std::string(1024, 'a')},
};

} // namespace endless

} // namespace pomelospread
