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
