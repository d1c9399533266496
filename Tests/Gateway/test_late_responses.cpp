#include "gateway/target_client.hpp"
#include "protocol/refused_request_ids.hpp"
#include "repeating_target.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <thread>

using namespace pomelospread;
using namespace std::chrono_literals;

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

    /// A refusal without an id, unless one is given.
    std::string refusal(std::string const& status, std::string const& id = "") const {
        return response_with((id.empty() ? "" : wire_format.request_id_header + ": " + id + "\r\n") +
                                 wire_format.not_started_header + ": 1\r\n" + wire_format.load_header +
                                 ": 8,0,8\r\n",
                             "", status);
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

    /// The body of the target's response, or why there is none.
    std::string body_for(endpoint const& target, std::string const& id) {
        auto const report = exchange(target, id);
        return report.response ? report.response->body() : report.failure_reason;
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

TEST(late_response_exchange, a_second_copy_of_a_refusal_is_not_taken_for_the_next_requests_refusal) {
    for (auto const* status : {"503 Full", "429 Later", "421 Misdirected", "400 Bad"}) {
        for (auto const time : copy_times) {
            for (auto const* id : {"", "r1"}) {
                repeating_target target({refusal(status, id), own_response("r2")}, time);
                CHECK(exchange(target.address(), "r1").outcome == exchange_outcome::not_executed);
                std::this_thread::sleep_for(40ms);
                STRCMP_EQUAL("for r2", body_for(target.address(), "r2").c_str());
            }
        }
    }
}

TEST(late_response_exchange, a_second_copy_of_a_refused_load_probe_is_not_taken_for_a_requests_refusal) {
    for (auto const time : copy_times) {
        repeating_target target({refusal("503 Full"), own_response("r2")}, time);
        CHECK(exchange(target.address(), "").target_load_report.has_value());
        std::this_thread::sleep_for(40ms);
        CHECK(exchange(target.address(), "r2").outcome == exchange_outcome::response_received);
    }
}

TEST(late_response_exchange, a_late_copy_of_a_refusal_is_not_taken_after_other_requests_and_load_probes) {
    auto const probe_response = response_with(wire_format.load_header + ": 5,0,8\r\n", "");
    repeating_target target({refusal("503 Full"), own_response("r2"), probe_response, own_response("r3")},
                            copy_time::during_the_next_request, 0);
    CHECK(exchange(target.address(), "r1").outcome == exchange_outcome::not_executed);
    STRCMP_EQUAL("for r2", body_for(target.address(), "r2").c_str());
    CHECK(exchange(target.address(), "").outcome == exchange_outcome::response_received);
    STRCMP_EQUAL("for r3", body_for(target.address(), "r3").c_str());
}

TEST(late_response_exchange, a_refusal_without_an_id_counts_also_on_a_connection_that_was_used) {
    repeating_target target({own_response("r1"), refusal("503 Full"), own_response("r3"),
                             refusal("503 Full", "r4"), own_response("r5")},
                            copy_time::with_the_next_request, 99);
    STRCMP_EQUAL("for r1", body_for(target.address(), "r1").c_str());
    CHECK(exchange(target.address(), "r2").outcome == exchange_outcome::not_executed);
    STRCMP_EQUAL("for r3", body_for(target.address(), "r3").c_str());
    CHECK(exchange(target.address(), "r4").outcome == exchange_outcome::not_executed);
    STRCMP_EQUAL("for r5", body_for(target.address(), "r5").c_str());
    LONGS_EQUAL(2, target.connection_count()); // Only the refusal without an id ends its connection.
}

TEST(late_response_exchange, a_refusal_without_an_id_behind_another_requests_response_does_not_count) {
    repeating_target target({own_response("r1"), refusal("503 Full")});
    STRCMP_EQUAL("for r1", body_for(target.address(), "r1").c_str());
    CHECK(exchange(target.address(), "r2").outcome == exchange_outcome::incomplete);
}

TEST(late_response_exchange, a_second_copy_of_a_refusal_is_not_taken_for_another_attempts_with_the_same_id) {
    for (auto const time : copy_times) {
        repeating_target target({refusal("503 Full", "r1"), own_response("r1")}, time);
        CHECK(exchange(target.address(), "r1").outcome == exchange_outcome::not_executed);
        std::this_thread::sleep_for(40ms);
        STRCMP_EQUAL("for r1", body_for(target.address(), "r1").c_str());
    }
}

TEST(late_response_exchange, a_connection_remembers_a_bounded_number_of_refusals) {
    std::vector<std::string> refusals;
    for (std::size_t i = 0; i <= refused_request_ids::max_count; ++i) {
        refusals.push_back(refusal("503 Full", "r" + std::to_string(i)));
    }
    repeating_target target(refusals, copy_time::with_the_next_request, 999);
    for (std::size_t i = 0; i < refusals.size(); ++i) {
        CHECK(exchange(target.address(), "r" + std::to_string(i)).outcome == exchange_outcome::not_executed);
        LONGS_EQUAL(i < refused_request_ids::max_count ? 1 : 2, target.connection_count());
    }
}
