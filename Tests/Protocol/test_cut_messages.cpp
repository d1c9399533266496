#include "cut_responses.hpp"
#include "protocol/http_connection.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace pomelospread;
using namespace std::chrono_literals;

/// Connections to peer instances, to the platform and to the targets of the product's own interface.
TEST_GROUP(cut_message_exchange) {
    io_thread thread{"test"};
    cut::cut_sender remote;

    void teardown() override {
        thread.stop();
    }

    /// The response, or nothing when the exchange failed with an error of its type.
    std::optional<http_response> exchange(boost::beast::http::verb method, std::string_view text,
                                          cut::ending ending, bool expects_continue = false) {
        remote.set_response(text, ending);
        std::optional<http_response> response;
        thread.run_and_wait([&] {
            auto const deadline = std::chrono::steady_clock::now() + 5s;
            http_connection connection(thread.io(), remote.address(), deadline);
            http_request request(method, "/", 11);
            set_header_field(request, "Host", "a.example");
            try {
                response = expects_continue
                               ? connection.exchange_with_expect_continue(request, 1024, deadline, deadline)
                               : connection.exchange(request, 1024, deadline);
            } catch (error const&) {
                response.reset();
            }
        });
        return response;
    }
};

TEST(cut_message_exchange, a_response_cut_at_any_byte_is_not_taken_for_a_whole_one) {
    for (auto const& row : cut::responses) {
        for (auto const ending : {cut::ending::close, cut::ending::reset}) {
            for (std::size_t size = 0; size < row.text.size(); ++size) {
                auto const name = std::string(row.name) + " cut at " + std::to_string(size);
                auto const text = std::string_view(row.text).substr(0, size);
                CHECK_TEXT(!exchange(row.method, text, ending), name.c_str());
            }
        }
        auto const response = exchange(row.method, row.text, cut::ending::close);
        CHECK_TEXT(response.has_value() != row.ends_at_close, row.name);
        CHECK_TEXT(!response || (response->result_int() >= 200 && response->body() == row.body), row.name);
    }
}

TEST(cut_message_exchange, a_response_without_a_valid_length_or_status_is_not_taken_for_a_whole_one) {
    // Guards against broken answers of peers, the platform and targets of the product's own interface
    // (MIXED).
    for (auto const& row : cut::malformed_responses) {
        for (bool const expects_continue : {false, true}) {
            CHECK_TEXT(
                !exchange(expects_continue ? boost::beast::http::verb::post : boost::beast::http::verb::get,
                          row.text, cut::ending::close, expects_continue),
                row.name);
        }
    }
}

TEST(cut_message_exchange, a_response_behind_an_interim_one_is_not_left_for_the_next_request) {
    for (auto const* interim : {"100 Continue", "102 Processing", "103 Early Hints"}) {
        auto const text = "HTTP/1.1 " + std::string(interim) + "\r\n\r\n" + cut::other_response;
        for (bool const expects_continue : {false, true}) {
            auto const response =
                exchange(boost::beast::http::verb::post, text, cut::ending::close, expects_continue);
            CHECK_TEXT(response && response->result_int() == 200 && response->body() == "other", interim);
        }
    }
}
