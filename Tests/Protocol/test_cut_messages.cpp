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
                                          cut::ending ending) {
        remote.set_response(text, ending);
        std::optional<http_response> response;
        thread.run_and_wait([&] {
            auto const deadline = std::chrono::steady_clock::now() + 5s;
            http_connection connection(thread.io(), remote.address(), deadline);
            http_request request(method, "/", 11);
            set_header_field(request, "Host", "a.example");
            try {
                response = connection.exchange(request, 1024, deadline);
            } catch (error const&) {
                response.reset();
            }
        });
        return response;
    }
};

TEST(cut_message_exchange, a_response_without_a_valid_length_or_status_is_not_taken_for_a_whole_one) {
    for (auto const& row : cut::malformed_responses) {
        CHECK_TEXT(!exchange(boost::beast::http::verb::get, row.text, cut::ending::close), row.name);
    }
}
