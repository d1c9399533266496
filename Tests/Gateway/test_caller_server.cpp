#include "gateway/caller_server.hpp"
#include "transport/io_thread.hpp"

#include <CppUTest/TestHarness.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace pomelospread;

namespace {

namespace asio = boost::asio;

struct oversized_request {
    char const* name;
    std::string bytes;
    char const* status_line;
};

std::string const start = "POST / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n";

oversized_request const oversized_requests[] = {
    {"a stated length", start + "Content-Length: 99999999999\r\n\r\n", "HTTP/1.1 413"},
    {"a stated length, with a body like header fields",
     start + "Content-Length: 99999999999\r\n\r\nX: a\r\n\r\n", "HTTP/1.1 413"},
    {"a stated length, with the first bytes of the body", start + "Content-Length: 99999999999\r\n\r\nabcde",
     "HTTP/1.1 413"},
    {"chunks", start + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\na", "HTTP/1.1 413"},
    {"a header", start + "X: " + std::string(40000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
};

/// Requests that RFC 9112 has a server accept.
struct proper_request {
    char const* name;
    std::string bytes;
    char const* target;
    char const* host;
};

std::string const fields = "Host: a.example\r\nConnection: close\r\n";

proper_request const proper_requests[] = {
    {"an empty line before the request (section 2.2)", "\r\nGET /a/b HTTP/1.1\r\n" + fields + "\r\n", "/a/b",
     "a.example"},
    {"two empty lines before the request", "\r\n\r\nGET /a/b HTTP/1.1\r\n" + fields + "\r\n", "/a/b",
     "a.example"},
    {"a target in absolute form (section 3.2.2)",
     "GET http://a.example/a/b?c=d HTTP/1.1\r\n" + fields + "\r\n", "/a/b?c=d", "a.example"},
    {"a target in absolute form of another host than the field, which it overrides",
     "GET HTTP://b.example:81/a HTTP/1.1\r\n" + fields + "\r\n", "/a", "b.example:81"},
    {"a target in absolute form without a path", "GET http://a.example?c HTTP/1.1\r\n" + fields + "\r\n",
     "/?c", "a.example"},
    {"a query that contains a URL", "GET /a/?u=http://b.example/ HTTP/1.1\r\n" + fields + "\r\n",
     "/a/?u=http://b.example/", "a.example"},
    {"chunks with extensions and a trailer",
     "PUT /a HTTP/1.1\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n3;x=\"y;z\"\r\nabc\r\n0\r\nX: y\r\n\r\n",
     "/a", "a.example"},
};

} // namespace

TEST_GROUP(caller_server_requests) {
    io_thread thread{"test"};
    // The thread changes these only while the test waits for a response.
    int handled_count = 0;
    std::string handled_target;
    std::string handled_host;
    std::unique_ptr<caller_server> server;

    void setup() override {
        thread.run_and_wait([this] {
            server = std::make_unique<caller_server>(
                thread, endpoint{"127.0.0.1", 0},
                caller_server_callbacks{
                    .handle =
                        [this](http_request& request, interruption_notifier&, steady_time) {
                            ++handled_count;
                            handled_target = std::string(request.target());
                            handled_host = std::string(request["Host"]);
                            return make_response(200, "text/plain", "done");
                        },
                    .may_run_concurrently = [](http_request const&) { return true; },
                    .limits = [] { return caller_limits{}; }});
            server->start();
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { server->stop_listening(); });
        thread.stop();
    }

    /// The bytes that the server sends until it closes. The request is written in two parts.
    std::string response_to(std::string const& request, std::size_t first_part = 0) const {
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        auto const address = server->local_address();
        socket.connect({asio::ip::make_address(address.address), address.port});
        boost::system::error_code error;
        asio::write(socket, asio::buffer(request.substr(0, first_part)), error);
        if (first_part > 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1)); // The parts arrive by themselves.
        }
        asio::write(socket, asio::buffer(request.substr(first_part)), error);
        std::string response;
        asio::read(socket, asio::dynamic_buffer(response), error);
        return response;
    }
};

TEST(caller_server_requests, requests_beyond_the_limits_are_refused_with_their_status_and_not_handled) {
    for (auto const& each : oversized_requests) {
        auto const response = response_to(each.bytes);
        STRCMP_CONTAINS_TEXT(each.status_line, response.c_str(), each.name);
        LONGS_EQUAL_TEXT(0, handled_count, each.name);
    }
}

TEST(caller_server_requests, a_request_within_the_limits_is_handled) {
    auto const response = response_to(start + "Content-Length: 5\r\n\r\nabcde");
    STRCMP_CONTAINS("HTTP/1.1 200", response.c_str());
    LONGS_EQUAL(1, handled_count);
}

TEST(caller_server_requests, proper_requests_are_not_turned_away) {
    for (auto const& each : proper_requests) {
        auto const response = response_to(each.bytes);
        STRCMP_CONTAINS_TEXT("HTTP/1.1 200", response.c_str(), each.name);
        STRCMP_EQUAL_TEXT(each.target, handled_target.c_str(), each.name);
        STRCMP_EQUAL_TEXT(each.host, handled_host.c_str(), each.name);
    }
}

TEST(caller_server_requests, proper_requests_are_not_turned_away_when_they_arrive_in_two_parts) {
    for (auto const& each : proper_requests) {
        for (std::size_t first_part = 1; first_part < each.bytes.size(); ++first_part) {
            auto const response = response_to(each.bytes, first_part);
            STRCMP_CONTAINS_TEXT("HTTP/1.1 200", response.c_str(), each.name);
            STRCMP_EQUAL_TEXT(each.target, handled_target.c_str(), each.name);
        }
    }
}

namespace {

struct waiting_request_case {
    char const* name;
    char const* connection; ///< What the first request states.
    int expected_handled;
};

std::array<waiting_request_case, 2> const waiting_request_cases{{
    {"the first request keeps the connection", "keep-alive", 2},
    {"the first request closes the connection", "close", 1},
}};

} // namespace

TEST_GROUP(caller_server_stops) {
    io_thread thread{"test"};
    std::atomic<int> handled_count = 0;
    std::string handled_body;                            // Changes only while the test waits for a response.
    std::vector<std::unique_ptr<caller_server>> servers; // The connections of earlier ones may still end.
    caller_server* server = nullptr;

    void setup() override {
        start_server();
    }

    void restart_server() {
        thread.run_and_wait([this] { server->stop_listening(); });
        start_server();
    }

    void start_server() {
        thread.run_and_wait([this] {
            servers.push_back(std::make_unique<caller_server>(
                thread, endpoint{"127.0.0.1", 0},
                caller_server_callbacks{
                    .handle =
                        [this](http_request& request, interruption_notifier&, steady_time) {
                            handled_body = request.body();
                            ++handled_count;
                            boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
                            return make_response(200, "text/plain", "done");
                        },
                    .may_run_concurrently = [](http_request const&) { return false; },
                    .limits = [] { return caller_limits{}; }}));
            server = servers.back().get();
            server->start();
        });
    }

    void teardown() override {
        thread.run_and_wait([this] { server->stop_listening(); });
        thread.stop();
    }
};

// Guards against a request that is read behind one in progress, run, and answered after a response that
// closes the connection (LOST of issue 33): its caller has left by then.
TEST(caller_server_stops, no_request_runs_behind_a_response_that_closes_the_connection) {
    for (auto const& each : waiting_request_cases) {
        handled_count = 0;
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        auto const address = server->local_address();
        socket.connect({asio::ip::make_address(address.address), address.port});
        auto const first =
            "PUT /a HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: " + std::string(each.connection) +
            "\r\n\r\n";
        asio::write(socket, asio::buffer(first + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n"));
        while (handled_count == 0) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        thread.run_and_wait([this] { server->begin_drain(); });
        std::string responses;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(responses), error);
        LONGS_EQUAL_TEXT(each.expected_handled, handled_count.load(), each.name);
        auto const close = responses.find("Connection: close");
        CHECK_TEXT(close != std::string::npos, each.name);
        // Nothing follows the response that closes.
        CHECK_TEXT(responses.find("HTTP/1.1", close) == std::string::npos, each.name);
    }
}

// Guards against a stop that takes the line break inside a body for an empty line between two requests and
// drops it.
TEST(caller_server_stops, request_that_is_half_read_at_the_stop_keeps_its_bytes) {
    std::string const request =
        "PUT /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n\r\n\r\n0\r\n\r\n";
    auto const body = request.find("\r\n\r\n") + 4;
    for (auto first_part = body; first_part < request.size(); ++first_part) {
        restart_server();
        asio::io_context io;
        asio::ip::tcp::socket socket(io);
        auto const address = server->local_address();
        socket.connect({asio::ip::make_address(address.address), address.port});
        // The parser is given the parts one by one.
        for (std::size_t at = 0; at < first_part; at = at < body ? body : at + 1) {
            asio::write(socket, asio::buffer(request.substr(at, at < body ? body : 1)));
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        thread.run_and_wait([this] { server->stop_listening(); });
        asio::write(socket, asio::buffer(request.substr(first_part)));
        std::string response;
        boost::system::error_code error;
        asio::read(socket, asio::dynamic_buffer(response), error);
        STRCMP_CONTAINS_TEXT("HTTP/1.1 200", response.c_str(), std::to_string(first_part).c_str());
        STRCMP_EQUAL_TEXT("\r\n", handled_body.c_str(), std::to_string(first_part).c_str());
    }
}
