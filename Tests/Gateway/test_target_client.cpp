#include "gateway/target_client.hpp"

#include "protocol/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(target_clients) {
    io_thread thread{"test"};
    forwarding_wire_format dialect;
    int ran = 0; // Touched by the thread only while a test waits for it.
    http_server target{thread, {"127.0.0.1", 0}, http_limits{}, [this](http_request const& request) {
                           ++ran;
                           auto response = make_response(200, "text/plain", "done");
                           set_header_field(response, dialect.request_id_header,
                                            header_field(request, dialect.request_id_header));
                           set_header_field(response, dialect.target_signature_header, "s");
                           return response;
                       }};
    std::unique_ptr<target_client> client;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_client>(thread.io(), dialect, target_client_limits{});
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

    exchange_report exchange(std::chrono::milliseconds left, target_client::exchange_handle & handle) {
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(boost::beast::http::verb::post, "/", 11);
            set_header_field(*request, "Host", "a.example");
            set_header_field(*request, dialect.request_id_header, "r1");
            request->prepare_payload();
            report = client->exchange("i-1", target.local_address(), request,
                                      std::chrono::steady_clock::now() + left, handle);
        });
        return report;
    }

    void open_idle_connection() {
        target_client::exchange_handle first;
        CHECK(exchange(2s, first).outcome == exchange_outcome::response_received);
        LONGS_EQUAL(1, ran);
    }
};

TEST(target_clients, a_try_that_was_cancelled_before_it_began_sends_nothing) {
    open_idle_connection();
    target_client::exchange_handle cancelled;
    cancelled.cancel();
    auto const report = exchange(2s, cancelled);
    CHECK(report.outcome == exchange_outcome::not_sent);
    CHECK_FALSE(cancelled.is_sent());
    LONGS_EQUAL(1, ran);
}

TEST(target_clients, a_try_without_time_left_sends_nothing) {
    open_idle_connection();
    target_client::exchange_handle late;
    auto const report = exchange(-5ms, late);
    CHECK(report.outcome == exchange_outcome::not_sent);
    CHECK_FALSE(late.is_sent());
    LONGS_EQUAL(1, ran);
}
