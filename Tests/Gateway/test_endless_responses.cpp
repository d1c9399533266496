#include "endless_responses.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_response_bytes = std::size_t{256} * 1024;
/// What the client may take beyond its limit: its read buffer and the sockets' buffers on loopback.
constexpr std::size_t buffered_bytes = std::size_t{12} * 1024 * 1024;

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
    for (auto const& each : endless::endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless::endless_sender target(each.start, each.repeated, 0ms);
        auto const report = exchange(target.address(), 8s);
        CHECK_TEXT(report.outcome == exchange_outcome::incomplete, each.name);
        CHECK_TEXT(!report.failure_reason.empty(), each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 4s, each.name);
        CHECK_TEXT(target.sent_bytes() < max_response_bytes + buffered_bytes, each.name);
    }
}

TEST(endless_response_exchange, slow_bytes_without_end_close_the_connection_at_the_deadline) {
    for (auto const& each : endless::endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless::endless_sender target(each.start, each.repeated.substr(0, 1), 50ms);
        auto const report = exchange(target.address(), 300ms);
        CHECK_TEXT(report.outcome == exchange_outcome::incomplete, each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 2s, each.name);
    }
}
