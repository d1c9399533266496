#include "endless_responses.hpp"
#include "protocol/http_connection.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t max_body_bytes = std::size_t{256} * 1024;
/// What the client may take beyond its limit: its read buffer and the sockets' buffers on loopback.
constexpr std::size_t buffered_bytes = std::size_t{12} * 1024 * 1024;

} // namespace

/// Connections to peer instances and to the platform.
TEST_GROUP(endless_message_exchange) {
    io_thread thread{"test"};

    /// Whether the exchange failed with an error of its type.
    bool fails(endpoint const& remote, std::chrono::milliseconds time_left) {
        bool failed = false;
        thread.run_and_wait([&] {
            auto const deadline = std::chrono::steady_clock::now() + time_left;
            http_connection connection(thread.io(), remote, deadline);
            http_request request(boost::beast::http::verb::get, "/", 11);
            set_header_field(request, "Host", "a.example");
            try {
                static_cast<void>(connection.exchange(request, max_body_bytes, deadline));
            } catch (error const&) {
                failed = true;
            }
        });
        return failed;
    }
};

TEST(endless_message_exchange, bytes_without_end_close_the_connection_at_a_bound_in_bytes) {
    for (auto const& each : endless::endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless::endless_sender remote(each.start, each.repeated, 0ms);
        CHECK_TEXT(fails(remote.address(), 8s), each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 4s, each.name);
        CHECK_TEXT(remote.sent_bytes() < max_body_bytes + buffered_bytes, each.name);
    }
}

TEST(endless_message_exchange, slow_bytes_without_end_close_the_connection_at_the_deadline) {
    for (auto const& each : endless::endless_responses) {
        auto const started = std::chrono::steady_clock::now();
        endless::endless_sender remote(each.start, each.repeated.substr(0, 1), 50ms);
        CHECK_TEXT(fails(remote.address(), 300ms), each.name);
        CHECK_TEXT(std::chrono::steady_clock::now() - started < 2s, each.name);
    }
}
