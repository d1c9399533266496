#include "cut_responses.hpp"
#include "gateway/target_client.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace pomelospread;
using namespace std::chrono_literals;

TEST_GROUP(cut_response_exchange) {
    io_thread thread{"test"};
    forwarding_wire_format wire_format;
    std::unique_ptr<target_client> client;
    cut::cut_sender target;

    void setup() override {
        thread.run_and_wait([this] {
            client = std::make_unique<target_client>(thread.io(), wire_format, target_client_limits{});
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { client.reset(); });
        thread.stop();
    }

    exchange_report exchange(boost::beast::http::verb method, std::string_view text, cut::ending ending,
                             std::size_t upload_bytes = 0) {
        target.set_response(text, ending);
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(method, "/", 11);
            set_header_field(*request, "Host", "a.example");
            set_header_field(*request, wire_format.request_id_header, "r1");
            if (upload_bytes > 0) {
                request->body().assign(upload_bytes, 'u');
                request->prepare_payload();
            }
            target_client::exchange_handle handle;
            report = client->exchange("i-1", target.address(), request, std::chrono::steady_clock::now() + 5s,
                                      handle);
            client->close_idle_connections_unless([](auto const&...) { return false; });
        });
        return report;
    }

    void check_every_cut(cut::response_row const& row, std::string const& text) {
        auto const header_size = text.rfind("\r\n\r\n1234") + 4;
        for (auto const ending : {cut::ending::close, cut::ending::reset}) {
            for (std::size_t size = 0; size <= text.size(); ++size) {
                bool const is_whole = ending == cut::ending::close &&
                                      (row.ends_at_close ? size >= header_size : size == text.size());
                if (size == text.size() && ending == cut::ending::reset && !row.ends_at_close) {
                    continue; // Whole; the reset may overtake its last bytes.
                }
                auto const report = exchange(row.method, std::string_view(text).substr(0, size), ending);
                auto const name =
                    std::string(row.name) + " cut at " + std::to_string(size) + ": " + report.failure_reason;
                CHECK_TEXT(report.outcome == (is_whole ? exchange_outcome::response_received
                                                       : exchange_outcome::incomplete),
                           name.c_str());
                CHECK_TEXT(!is_whole || report.response->body() ==
                                            row.body.substr(0, row.ends_at_close ? size - header_size
                                                                                 : std::string::npos),
                           name.c_str());
            }
        }
    }
};

TEST(cut_response_exchange, a_response_cut_at_any_byte_is_not_taken_for_a_whole_one) {
    for (auto const& row : cut::responses) {
        check_every_cut(row, row.text);
    }
}

TEST(cut_response_exchange, a_response_cut_at_any_byte_behind_another_requests_is_not_taken_for_a_whole_one) {
    for (auto const& row : cut::responses) {
        if (row.method != boost::beast::http::verb::head) {
            check_every_cut(row, cut::other_response + row.text);
        }
    }
}

TEST(cut_response_exchange, a_response_without_a_valid_length_or_status_is_not_taken_for_a_whole_one) {
    // Guards against answers with status 000, or with a blank or control byte in the name of a field (MIXED).
    for (auto const& row : cut::malformed_responses) {
        auto const report = exchange(boost::beast::http::verb::get, row.text, cut::ending::close);
        CHECK_TEXT(report.outcome == exchange_outcome::incomplete, row.name);
    }
}

// Guards against the part of a response without a length that arrived before the target reset the connection,
// while the request was still being written, and that is taken for the whole one (MIXED).
TEST(cut_response_exchange, a_response_without_a_length_that_is_reset_during_the_upload_is_incomplete) {
    constexpr std::size_t upload_bytes = std::size_t{32} * 1024 * 1024; // More than the system buffers.
    for (int i = 0; i < 40; ++i) {
        for (auto const ending : {cut::ending::reset, cut::ending::close}) {
            // Closing with bytes that were not read resets the connection as well.
            auto const report =
                exchange(boost::beast::http::verb::post, "HTTP/1.1 200 OK\r\n" + cut::fields + "\r\n1234",
                         ending, upload_bytes);
            CHECK(report.outcome == exchange_outcome::incomplete);
        }
    }
}

TEST(cut_response_exchange, a_response_with_a_length_that_comes_during_the_upload_is_whole) {
    constexpr std::size_t upload_bytes = std::size_t{32} * 1024 * 1024;
    auto const report = exchange(boost::beast::http::verb::post,
                                 "HTTP/1.1 200 OK\r\n" + cut::fields + "Content-Length: 4\r\n\r\n1234",
                                 cut::ending::close, upload_bytes);
    // The reset may overtake the response.
    CHECK(report.outcome == exchange_outcome::incomplete || report.response->body() == "1234");
}
