#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/// A target that sends the n-th of `responses` when it has read the n-th request of its one connection, and
/// the same once more just before the next response.
class repeating_target {
public:
    explicit repeating_target(std::vector<std::string> responses)
        : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}),
          m_thread([this, responses = std::move(responses)] { serve(responses); }) {}
    ~repeating_target() { m_thread.join(); }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    void serve(std::vector<std::string> const& responses) {
        boost::system::error_code error;
        asio::ip::tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        std::string unread;
        std::string previous;
        for (auto const& response : responses) {
            auto const length = asio::read_until(socket, asio::dynamic_buffer(unread), "\r\n\r\n", error);
            if (error) {
                return;
            }
            unread.erase(0, length);
            asio::write(socket, asio::buffer(previous), error);
            std::this_thread::sleep_for(20ms); // The copy arrives by itself.
            asio::write(socket, asio::buffer(response), error);
            previous = response;
        }
        asio::read_until(socket, asio::dynamic_buffer(unread), "\r\n\r\n", error); // Until the client closes.
    }

    asio::io_context m_io{1};
    asio::ip::tcp::acceptor m_acceptor;
    std::thread m_thread;
};

std::string response_with(std::string const& header_fields, std::string const& body) {
    return "HTTP/1.1 200 OK\r\n" + header_fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(late_response_exchange) {
    io_thread thread{"test"};
    forwarding_wire_format wire_format;
    std::unique_ptr<target_client> client;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_client>(thread.io(), wire_format, target_client_limits{});
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { client.reset(); });
        thread.stop();
    }

    std::string own_response(std::string const& id) const {
        return response_with(wire_format.request_id_header + ": " + id + "\r\n" +
                                 wire_format.target_signature_header + ": s\r\n" + wire_format.load_header +
                                 ": 1,0,8\r\n",
                             "for " + id);
    }

    /// An empty id stands for a load probe.
    exchange_report exchange(endpoint const& target, std::string const& id) {
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(boost::beast::http::verb::get, "/", 11);
            set_header_field(*request, "Host", "a.example");
            if (!id.empty()) {
                set_header_field(*request, wire_format.request_id_header, id);
            }
            target_client::exchange_handle handle;
            report = client->exchange("i-1", target, request, std::chrono::steady_clock::now() + 2s, handle,
                                      id.empty() ? exchange_kind::load_probe : exchange_kind::request);
        });
        return report;
    }
};

TEST(late_response_exchange, a_second_copy_of_a_response_is_not_taken_for_the_next_request) {
    repeating_target target({own_response("r1"), own_response("r2")});
    STRCMP_EQUAL("for r1", exchange(target.address(), "r1").response->body().c_str());
    STRCMP_EQUAL("for r2", exchange(target.address(), "r2").response->body().c_str());
    thread.run_and_wait([this] { client.reset(); });
}

TEST(late_response_exchange, a_second_copy_of_a_response_is_not_taken_for_a_load_probe) {
    repeating_target target({own_response("r1"), response_with(wire_format.load_header + ": 5,0,8\r\n", "")});
    STRCMP_EQUAL("for r1", exchange(target.address(), "r1").response->body().c_str());
    auto const report = exchange(target.address(), "");
    CHECK(report.outcome == exchange_outcome::response_received);
    LONGS_EQUAL(5, report.target_load_report->running);
    thread.run_and_wait([this] { client.reset(); });
}
