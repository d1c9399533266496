#include "gateway/target_client.hpp"

#include "protocol/http_server.hpp"

#include <CppUTest/TestHarness.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <map>
#include <memory>
#include <string>
#include <utility>

using namespace pomelospread;
using namespace std::chrono_literals;

namespace {

/// A target that accepts connections and reads nothing until it is told to.
class unread_target {
public:
    unread_target() : m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
        int const small_buffer = 4096;
        ::setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        CHECK(::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        CHECK(::listen(m_listener, 8) == 0);
    }
    ~unread_target() { ::close(m_listener); }

    [[nodiscard]] endpoint address() const {
        sockaddr_in local{};
        socklen_t length = sizeof(local);
        ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&local), &length);
        return {"127.0.0.1", ntohs(local.sin_port)};
    }
    /// Reads from the next connection until it ends; returns whether it was reset.
    [[nodiscard]] bool is_next_connection_reset() const {
        int const connection = ::accept(m_listener, nullptr, nullptr);
        std::array<char, 65536> buffer{};
        ssize_t count = 0;
        do {
            count = ::recv(connection, buffer.data(), buffer.size(), 0);
        } while (count > 0);
        bool const is_reset = count < 0 && errno == ECONNRESET;
        ::close(connection);
        return is_reset;
    }

private:
    int m_listener;
};

} // namespace

TEST_GROUP(target_client_exchange) {
    io_thread thread{"test"};
    forwarding_wire_format wire_format;
    int executed_count = 0; // The thread changes it only while the test waits in run_and_wait.
    struct {
        unsigned status = 200;
        std::map<std::string, std::string> fields;
    } answered; // As above; what the target answers.
    http_server target{thread, {"127.0.0.1", 0}, http_limits{}, [this](http_request const& request) {
                           ++executed_count;
                           auto response = make_response(answered.status, "text/plain", "done");
                           set_header_field(response, wire_format.request_id_header,
                                            header_field(request, wire_format.request_id_header));
                           set_header_field(response, wire_format.target_signature_header, "s");
                           set_header_field(response, wire_format.load_header, "1,0,8");
                           for (auto const& [name, value] : answered.fields) {
                               set_header_field(response, name, value);
                           }
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

    exchange_report exchange(std::chrono::milliseconds time_left, target_client::exchange_handle & handle,
                             exchange_kind kind = exchange_kind::request) {
        exchange_report report;
        thread.run_and_wait([&] {
            auto request = std::make_shared<http_request>(boost::beast::http::verb::post, "/", 11);
            set_header_field(*request, "Host", "a.example");
            set_header_field(*request, wire_format.request_id_header, "r1");
            request->prepare_payload();
            report = client->exchange("i-1", target.local_address(), request,
                                      std::chrono::steady_clock::now() + time_left, handle, kind);
        });
        return report;
    }

    void open_idle_connection() {
        target_client::exchange_handle first;
        CHECK(exchange(2s, first).outcome == exchange_outcome::response_received);
        LONGS_EQUAL(1, executed_count);
    }
};

TEST(target_client_exchange, bytes_of_an_abandoned_attempt_do_not_arrive_later) {
    // Guards against a request that the system still delivers after its caller was answered: a path that was
    // lost for seconds brought one to a target that had said in the meantime that it leaves.
    unread_target const stalled;
    thread.run_and_wait([&] {
        auto request = std::make_shared<http_request>(boost::beast::http::verb::post, "/", 11);
        request->body() = std::string(std::size_t{16} * 1024 * 1024, 'x'); // More than both sides buffer.
        request->prepare_payload();
        target_client::exchange_handle handle;
        auto const report = client->exchange("i-2", stalled.address(), request,
                                             std::chrono::steady_clock::now() + 100ms, handle);
        CHECK(report.outcome == exchange_outcome::incomplete);
    });
    CHECK(stalled.is_next_connection_reset());
}

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

TEST(target_client_exchange, each_kind_of_response_tells_that_the_target_leaves) {
    struct {
        unsigned status;
        std::string value;
        exchange_kind kind;
        bool leaving;
    } const cases[] = {
        {200, "1", exchange_kind::request, true},    {503, "1", exchange_kind::request, true},
        {200, "1", exchange_kind::load_probe, true}, {503, "1", exchange_kind::load_probe, true},
        {421, "1", exchange_kind::request, false},   {200, "0", exchange_kind::request, false},
        {200, "", exchange_kind::load_probe, false},
    };
    for (auto const& each : cases) {
        answered = {each.status, {{wire_format.leaving_header, each.value}}};
        if (each.status == 503) {
            answered.fields[wire_format.not_started_header] = "1";
        }
        target_client::exchange_handle handle;
        CHECK_EQUAL(each.leaving, exchange(2s, handle, each.kind).notice.leaving);
        int idle_targets = 0;
        thread.run_and_wait([&] {
            client->close_idle_connections_unless([&](auto const&...) { return ++idle_targets == 0; });
        });
        LONGS_EQUAL(each.leaving ? 0 : 1, idle_targets);
    }
}

TEST(target_client_exchange, refusal_tells_for_how_long_the_target_wants_no_request) {
    struct {
        unsigned status;
        std::string value;
        exchange_kind kind;
        std::optional<std::chrono::nanoseconds> pause;
        std::string invalid;
    } const cases[] = {
        {503, "1", exchange_kind::request, 1s, ""},
        {429, "0.25", exchange_kind::request, 250ms, ""},
        {503, "2", exchange_kind::load_probe, 2s, ""},
        {503, "99999999999999999999", exchange_kind::request, max_retry_after, ""},
        {503, "0", exchange_kind::request, 0s, ""},
        {200, "1", exchange_kind::request, {}, ""},
        {421, "1", exchange_kind::request, {}, ""},
        {503, "-1", exchange_kind::request, {}, "-1"},
        {503, "inf", exchange_kind::request, {}, "inf"},
        {503, "nan", exchange_kind::load_probe, {}, "nan"},
        {503, "1 s", exchange_kind::request, {}, "1 s"},
        {503, std::string(400, '9'), exchange_kind::request, {}, std::string(64, '9')},
    };
    for (auto const& each : cases) {
        answered = {each.status,
                    {{wire_format.retry_after_header, each.value}, {wire_format.not_started_header, "1"}}};
        target_client::exchange_handle handle;
        auto const notice = exchange(2s, handle, each.kind).notice;
        CHECK_TEXT(each.pause == notice.retry_after, each.value.c_str());
        STRCMP_EQUAL(each.invalid.c_str(), notice.invalid_retry_after.c_str());
    }
}

TEST(target_client_exchange, an_odd_idle_timeout_does_not_make_a_connection_expire_at_once) {
    constexpr std::array<std::pair<char const*, std::int64_t>, 4> timeouts{
        {{"timeout=5", 5},
         {"timeout=10000000000", 3600},
         {"timeout=9223372036854775807", 3600},
         {"timeout=-3", 0}}};
    for (auto const& [text, seconds] : timeouts) {
        LONGS_EQUAL_TEXT(seconds * 1000, detail::parse_keep_alive_timeout(text)->count(), text);
    }
    for (auto const* text : {"", "max=3", "timeout=", "timeout=x", "timeout=99999999999999999999"}) {
        CHECK_FALSE_TEXT(detail::parse_keep_alive_timeout(text).has_value(), text);
    }
}
