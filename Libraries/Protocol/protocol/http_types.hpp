// HTTP messages, held completely in memory, with the header fields that the system defines.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstddef>
#include <string_view>

namespace pomelospread {

/// Bytes of a message that may be read ahead of the parser. It consumes a body at once, but needs a header or
/// a chunk's extension to be complete; a longer one ends the connection with an error.
constexpr std::size_t max_buffered_bytes = std::size_t{128} * 1024;

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using steady_time = std::chrono::steady_clock::time_point;

/// Limits of the connections of an HTTP server.
struct http_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    std::chrono::milliseconds idle_timeout{60000}; ///< Until the first byte of the next request.
    std::chrono::milliseconds read_timeout{10000}; ///< From the first byte of a request to its last.
    std::size_t max_connections = 4096;            ///< Per server, which runs on one thread.
};

/// Header fields that callers, targets and instances exchange.
namespace header {
constexpr std::string_view customer = "Pomelospread-Customer";
constexpr std::string_view outcome = "Pomelospread-Outcome";
constexpr std::string_view request_id = "Pomelospread-Request-Id";
constexpr std::string_view key_prefix = "Pomelospread-Key-Prefix";
constexpr std::string_view deadline_ms = "Pomelospread-Deadline-Ms";
constexpr std::string_view deadline_unix_ms = "Pomelospread-Deadline-Unix-Ms";
constexpr std::string_view relay = "Pomelospread-Relay";
constexpr std::string_view not_started = "Pomelospread-Not-Started";
constexpr std::string_view leaving = "Pomelospread-Leaving";
constexpr std::string_view idempotency_key = "Idempotency-Key";
} // namespace header

/// The value of a header field, empty when it is absent.
template<class Message>
[[nodiscard]] std::string_view header_field(Message const& message, std::string_view name) {
    auto const found = message.find(boost::beast::string_view(name.data(), name.size()));
    if (found == message.end()) {
        return {};
    }
    return {found->value().data(), found->value().size()};
}

/// Sets a header field, replacing any value that it has.
template<class Message>
void set_header_field(Message& message, std::string_view name, std::string_view value) {
    message.set(boost::beast::string_view(name.data(), name.size()),
                boost::beast::string_view(value.data(), value.size()));
}

/// Removes a header field if it is present.
template<class Message>
void erase_header_field(Message& message, std::string_view name) {
    message.erase(boost::beast::string_view(name.data(), name.size()));
}

/// Builds a complete response with a body of the given content type.
[[nodiscard]] http_response make_response(unsigned status, std::string_view content_type, std::string body);

} // namespace pomelospread
