#include "entry/target_http_client.hpp"
#include "repeating_target.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(target_refusals) {
    io_thread thread{"test"};
    metrics counters;
    std::unique_ptr<target_http_client> client;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_http_client>(thread.io(), 4, target_http_limits{}, counters);
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { client.reset(); });
        thread.stop();
    }

    attempt_result send(endpoint const& target, std::string const& id) {
        attempt_result result;
        thread.run_and_wait([&] {
            http_request request(boost::beast::http::verb::post, "/", 11);
            set_header_field(request, "Host", "a.example");
            set_header_field(request, header::request_id, id);
            request.prepare_payload();
            target_http_client::cancel_handle handle;
            result =
                client->send_once(target, request, false, std::chrono::steady_clock::now() + 2s, 4, handle);
        });
        return result;
    }
};

TEST(target_refusals, a_second_copy_of_a_refusal_is_not_taken_for_the_next_attempts_refusal) {
    auto const shed = std::string(header::not_started) + ": 1\r\n";
    auto const named = std::string(header::request_id) + ": ";
    struct {
        std::string refusal_fields;
        std::string next_id;
    } const rows[] = {{shed, "r2"}, {shed + named + "r1\r\n", "r1"}};
    for (auto const& row : rows) {
        for (auto const time : copy_times) {
            auto const response = response_with(named + row.next_id + "\r\n", "for " + row.next_id);
            repeating_target target({response_with(row.refusal_fields, "", "503 Full"), response}, time);
            CHECK(send(target.address(), "r1").failure == attempt_failure::shed);
            std::this_thread::sleep_for(40ms);
            auto const result = send(target.address(), row.next_id);
            STRCMP_EQUAL("", result.detail.c_str());
            STRCMP_EQUAL(("for " + row.next_id).c_str(), result.response->body().c_str());
        }
    }
}

// Callers of these instances take a status for "not run" only by the outcome beside it, which is `ran` for
// every response of a target that is delivered. Guards against a refusal that the target did not state
// (REFUSED).
TEST(target_refusals, only_a_refusal_that_the_target_states_counts_as_not_started) {
    auto const own = std::string(header::request_id) + ": r1\r\n";
    auto const stated = std::string(header::not_started) + ": 1\r\n";
    struct {
        std::string status;
        std::string fields;
        bool is_not_started;
    } const rows[] = {
        {"503 Full", stated, true}, {"503 Full", "", false},  {"408 Late", "", false},
        {"421 Other", "", false},   {"429 Later", "", false}, {"200 OK", stated, false},
    };
    for (auto const& row : rows) {
        repeating_target target({response_with(row.fields + own, "", row.status)});
        auto const result = send(target.address(), "r1");
        CHECK_EQUAL_TEXT(row.is_not_started, result.status == attempt_status::not_started,
                         row.status.c_str());
        CHECK_EQUAL_TEXT(!row.is_not_started, result.response.has_value(), row.status.c_str());
    }
}
