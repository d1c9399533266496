// Reads an HTTP message from a connection, within the limits of its parser.
#pragma once

#include "transport/use_fiber.hpp"

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <cstddef>
#include <iterator>
#include <string_view>

namespace pomelospread {

namespace detail {

constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::size_t max_head_bytes = std::size_t{8} * 1024; ///< As the parser's own limit.
constexpr std::size_t max_bytes_per_read = std::size_t{64} * 1024;

inline std::string_view buffered_text(boost::beast::flat_buffer const& buffer) {
    return {static_cast<char const*>(buffer.data().data()), buffer.data().size()};
}

/// Whether a line of the head begins with a blank. It continues the line before (RFC 9112 section 5.2, which
/// no sender may generate), so a field that the sender meant, such as a length, would be part of another's
/// value.
inline bool has_continued_line(std::string_view head) {
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

/// Reads until the buffer holds the complete head of a message. Returns the size of the head, or 0 with an
/// error.
inline std::size_t read_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                             boost::system::error_code& error) {
    namespace http = boost::beast::http;
    for (;;) {
        auto const text = buffered_text(buffer);
        if (auto const end = text.find(end_of_head); end != std::string_view::npos) {
            return end + end_of_head.size();
        }
        if (text.size() >= max_head_bytes) {
            error = http::error::header_limit;
            return 0;
        }
        auto const size = boost::beast::read_size(buffer, max_bytes_per_read);
        buffer.commit(stream.async_read_some(buffer.prepare(size), use_fiber(error)));
        if (error == boost::asio::error::eof) {
            error = buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
        }
        if (error) {
            return 0;
        }
    }
}

} // namespace detail

/// Reads the head of a response; `error` tells how it ended. Suspends the calling fiber. Stricter than the
/// parser, which accepts a status of any three digits and continued lines.
template<class Parser>
void read_response_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                        boost::system::error_code& error) {
    namespace http = boost::beast::http;
    error = {};
    auto const size = detail::read_head(stream, buffer, error);
    if (error) {
        return;
    }
    if (detail::has_continued_line(detail::buffered_text(buffer).substr(0, size))) {
        error = http::error::bad_field;
        return;
    }
    buffer.consume(parser.put(buffer.data(), error));
    if (!error && !parser.is_header_done()) {
        error = http::error::partial_message;
    }
    if (!error && (parser.get().result_int() < 100 || parser.get().result_int() > 599)) {
        error = http::error::bad_status;
    }
}

/// Reads the header of the parser's message; `error` tells how it ended. Suspends the calling fiber. A
/// transfer coding other than "chunked" is an error: the parser would pass the coded bytes on as the body.
template<class Parser>
void read_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                 boost::system::error_code& error) {
    error = {};
    if constexpr (Parser::is_request::value) {
        boost::beast::http::async_read_header(stream, buffer, parser, use_fiber(error));
    } else {
        read_response_head(stream, buffer, parser, error);
    }
    if (error) {
        return;
    }
    auto const [first, last] = parser.get().equal_range(boost::beast::http::field::transfer_encoding);
    if (first != last && (std::next(first) != last || !boost::beast::iequals(first->value(), "chunked"))) {
        error = boost::beast::http::error::bad_transfer_encoding;
    }
}

/// Reads the rest of the parser's message; `error` tells how it ended. Suspends the calling fiber. The header
/// is read by itself: when bytes of the body arrive with it, the parser of Boost 1.74 passes over a stated
/// length beyond its limit, and a body reader then reserves that length.
template<class Parser>
void read_message(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                  boost::system::error_code& error) {
    error = {};
    if (!parser.is_header_done()) {
        read_header(stream, buffer, parser, error);
    }
    if (!error && !parser.is_done()) {
        boost::beast::http::async_read(stream, buffer, parser, use_fiber(error));
    }
}

/// Like `read_message`, for a parser with a string as its body: `admit(size)` is called with the size of the
/// body after each part of it, and when it returns false the read ends with `body_limit`.
template<class Parser, class Admit>
void read_message(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                  boost::system::error_code& error, Admit const& admit) {
    read_header(stream, buffer, parser, error);
    parser.eager(true);
    while (!error && !parser.is_done()) {
        boost::beast::http::async_read_some(stream, buffer, parser, use_fiber(error));
        if (!error && !admit(parser.get().body().size())) {
            error = boost::beast::http::error::body_limit;
        }
    }
}

} // namespace pomelospread
