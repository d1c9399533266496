// Reads an HTTP message from a connection, within the limits of its parser.
#pragma once

#include "transport/use_fiber.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <iterator>

namespace pomelospread {

/// Reads the header of the parser's message; `error` tells how it ended. Suspends the calling fiber. A
/// transfer coding other than "chunked" is an error: the parser would pass the coded bytes on as the body.
template<class Parser>
void read_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, Parser& parser,
                 boost::system::error_code& error) {
    error = {};
    boost::beast::http::async_read_header(stream, buffer, parser, use_fiber(error));
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
