#include "gateway/target_client.hpp"

#include "protocol/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(target_client_exchange) {
    io_thread thread{"test"};
    forwarding_wire_format wire_format;
    int executed_count = 0; // The thread changes it only while the test waits in run_and_wait.
    http_server target{thread, {"127.0.0.1", 0}, http_limits{}, [this](http_request const& request) {
                           ++executed_count;
                           auto response = make_response(200, "text/plain", "done");
                           set_header_field(response, wire_format.request_id_header,
                                            header_field(request, wire_format.request_id_header));
                           set_header_field(response, wire_format.target_signature_header, "s");
                           return response;
                       }};
    std::unique_ptr<target_client> client;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_client>(thread.io(), wire_format, target_client_limits{});
        });
        target.start();
    }

    void teardown() override {
        thread.run_and_wait([this] {
            client.reset();
            target.stop_listening();
        });
        thread.stop();
    }

    exchange_report exchange(std::chrono::milliseconds time_left, target_client::exchange_handle & handle) {
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(boost::beast::http::verb::post, "/", 11);
            set_header_field(*request, "Host", "a.example");
            set_header_field(*request, wire_format.request_id_header, "r1");
            request->prepare_payload();
            report = client->exchange("i-1", target.local_address(), request,
                                      std::chrono::steady_clock::now() + time_left, handle);
        });
        return report;
    }

    void open_idle_connection() {
        target_client::exchange_handle first;
        CHECK(exchange(2s, first).outcome == exchange_outcome::response_received);
        LONGS_EQUAL(1, executed_count);
    }
};

TEST(target_client_exchange, attempt_cancelled_before_its_start_sends_nothing) {
    open_idle_connection();
    target_client::exchange_handle cancelled;
    cancelled.cancel();
    auto const report = exchange(2s, cancelled);
    CHECK(report.outcome == exchange_outcome::not_sent);
    CHECK_FALSE(cancelled.is_sent());
    LONGS_EQUAL(1, executed_count);
}

TEST(target_client_exchange, attempt_after_its_deadline_sends_nothing) {
    open_idle_connection();
    target_client::exchange_handle late;
    auto const report = exchange(-5ms, late);
    CHECK(report.outcome == exchange_outcome::not_sent);
    CHECK_FALSE(late.is_sent());
    LONGS_EQUAL(1, executed_count);
}
