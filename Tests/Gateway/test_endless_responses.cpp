#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t max_response_bytes = std::size_t{256} * 1024;
/// What the client may take beyond its limit: its read buffer and the sockets' buffers on loopback.
constexpr std::size_t buffered_bytes = std::size_t{12} * 1024 * 1024;

/// A target that answers one request with `start` and then `repeated` until the client closes.
class endless_target {
public:
    endless_target(std::string start, std::string repeated, std::chrono::milliseconds pause)
        : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}),
          m_thread([this, start = std::move(start), repeated = std::move(repeated), pause] {
              send(start, repeated, pause);
          }) {}
    ~endless_target() { m_thread.join(); }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    [[nodiscard]] std::size_t sent_bytes() const { return m_sent_bytes; }

private:
    void send(std::string const& start, std::string const& repeated, std::chrono::milliseconds pause) {
        boost::system::error_code error;
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        asio::write(socket, asio::buffer(start), error);
        auto const give_up = std::chrono::steady_clock::now() + 10s;
        while (!error && std::chrono::steady_clock::now() < give_up) {
            m_sent_bytes += asio::write(socket, asio::buffer(repeated), error);
            std::this_thread::sleep_for(pause);
        }
    }

    asio::io_context m_io{1};
    tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent_bytes{0};
    std::thread m_thread;
};

struct endless_response {
    char const* name;
    std::string start;
    std::string repeated;
};

std::string const ok = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n";

endless_response const endless_responses[] = {
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

} // namespace

TEST_GROUP(endless_response_exchange) {
    io_thread thread{"test"};
    forwarding_wire_format wire_format;
    std::unique_ptr<target_client> client;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_client>(
                thread.io(), wire_format, target_client_limits{.max_response_bytes = max_response_bytes});
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { client.reset(); });
        thread.stop();
    }

    exchange_report exchange(endpoint const& target, std::chrono::milliseconds time_left) {
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(boost::beast::http::verb::get, "/", 11);
            set_header_field(*request, "Host", "a.example");
            set_header_field(*request, wire_format.request_id_header, "r1");
            target_client::exchange_handle handle;
            report = client->exchange("i-1", target, request, std::chrono::steady_clock::now() + time_left,
                                      handle);
        });
        return report;
    }
};

TEST(endless_response_exchange, bytes_without_end_close_the_connection_at_a_bound_in_bytes) {
    for (auto const& each : endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless_target target(each.start, each.repeated, 0ms);
        auto const report = exchange(target.address(), 8s);
        CHECK_TEXT(report.outcome == exchange_outcome::incomplete, each.name);
        CHECK_TEXT(!report.failure_reason.empty(), each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 4s, each.name);
        CHECK_TEXT(target.sent_bytes() < max_response_bytes + buffered_bytes, each.name);
    }
}

TEST(endless_response_exchange, slow_bytes_without_end_close_the_connection_at_the_deadline) {
    for (auto const& each : endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless_target target(each.start, each.repeated.substr(0, 1), 50ms);
        auto const report = exchange(target.address(), 300ms);
        CHECK_TEXT(report.outcome == exchange_outcome::incomplete, each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 2s, each.name);
    }
}
