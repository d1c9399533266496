// A target, peer or platform that stops in the middle of its response, or whose response is framed wrongly.
#pragma once

#include "base/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>

#include <sys/socket.h>

#include <chrono>
#include <string>
#include <thread>

namespace pomelospread {

namespace cut {

enum class ending : std::uint8_t { close, reset };

/// Answers one request on each connection, without reading its body, with the text that is set at that time,
/// and ends the connection.
class cut_sender {
public:
    cut_sender()
        : m_acceptor(m_io, {boost::asio::ip::address_v4::loopback(), 0}), m_thread([this] { serve(); }) {}
    ~cut_sender() {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
    }

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }
    /// Call only between exchanges.
    void set_response(std::string_view text, ending end) {
        m_text = text;
        m_ending = end;
    }

private:
    void serve() {
        for (;;) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(m_io);
            m_acceptor.accept(socket, error);
            if (error) {
                return;
            }
            std::string request;
            boost::asio::read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", error);
            boost::asio::write(socket, boost::asio::buffer(m_text), error);
            if (m_ending == ending::reset) {
                std::this_thread::sleep_for(
                    std::chrono::milliseconds(1)); // The client reads the bytes first.
                socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            }
            socket.close(error); // The destructor would not send a reset.
        }
    }

    boost::asio::io_context m_io{1};
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_text;
    ending m_ending = ending::close;
    std::thread m_thread;
};

inline std::string const fields = "Pomelospread-Request-Id: r1\r\nPomelospread-Answered-By: s\r\n";
inline std::string const other_response = "HTTP/1.1 200 OK\r\nPomelospread-Request-Id: r0\r\n"
                                          "Pomelospread-Answered-By: s\r\nContent-Length: 5\r\n\r\nother";

struct response_row {
    char const* name;
    boost::beast::http::verb method;
    std::string text;
    std::string body;           ///< Of the complete response.
    bool ends_at_close = false; ///< Complete at any clean close behind the header.
};

inline response_row const responses[] = {
    {"a length", boost::beast::http::verb::get,
     "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 7\r\n\r\n123\r\n\r\n", "123\r\n\r\n"},
    {"a length before other fields", boost::beast::http::verb::get,
     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + fields + "\r\n", ""},
    {"chunks", boost::beast::http::verb::get,
     "HTTP/1.1 200 OK\r\n" + fields +
         "Transfer-Encoding: chunked\r\n\r\n3\r\n123\r\n1;a=b\r\n4\r\n0\r\nX: a\r\n\r\n",
     "1234"},
    {"no length", boost::beast::http::verb::get, "HTTP/1.1 200 OK\r\n" + fields + "\r\n1234", "1234", true},
    {"HTTP/1.0", boost::beast::http::verb::get, "HTTP/1.0 200 OK\r\n" + fields + "\r\n1234", "1234", true},
    {"a length to HEAD", boost::beast::http::verb::head,
     "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 7\r\n\r\n", ""},
    {"no length to HEAD", boost::beast::http::verb::head, "HTTP/1.1 200 OK\r\n" + fields + "\r\n", ""},
    {"status 204", boost::beast::http::verb::get, "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", ""},
    {"status 304", boost::beast::http::verb::get,
     "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 7\r\n\r\n", ""},
    {"an interim response first", boost::beast::http::verb::get,
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n\r\nHTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: 4\r\n\r\n1234",
     "1234"},
};

struct malformed_response {
    char const* name;
    std::string text;
};

/// Heads that no strict reader accepts: a length or a status that is stated in no valid way, and lines that
/// are no fields. The connection ends behind them.
inline malformed_response const malformed_responses[] = {
    {"a length and chunks",
     "HTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n"},
    {"chunks and a length",
     "HTTP/1.1 200 OK\r\n" + fields +
         "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n3\r\n123\r\n0\r\n\r\n"},
    {"two lengths", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n1234"},
    {"two lengths in one field", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3, 4\r\n\r\n1234"},
    {"a length with a sign", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: +3\r\n\r\n123"},
    {"a length that is no number", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3x\r\n\r\n123"},
    {"an empty length", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length:\r\n\r\n123"},
    {"an unknown transfer coding", "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip\r\n\r\n123"},
    {"an unknown transfer coding and a length",
     "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip\r\nContent-Length: 3\r\n\r\n123"},
    {"a transfer coding inside chunks",
     "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: gzip, chunked\r\n\r\n3\r\n123\r\n0\r\n\r\n"},
    {"chunks that are not the last coding",
     "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked, identity\r\n\r\n3\r\n123\r\n0\r\n\r\n"},
    {"a status of two digits", "HTTP/1.1 20 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"a status of one digit", "HTTP/1.1 2\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"a status of four digits", "HTTP/1.1 2000 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"a status below 100", "HTTP/1.1 020 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"no status", "HTTP/1.1 \r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"status 000", "HTTP/1.1 000 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"status 000 before another response",
     "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"status 000 with a length before another response",
     "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + fields +
         "Content-Length: 3\r\n\r\n123"},
    {"status 099 before another response", "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" +
                                               fields + "Content-Length: 3\r\n\r\n123"},
    {"status 600", "HTTP/1.1 600 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"status 999", "HTTP/1.1 999 OK\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"a blank before a name", "HTTP/1.1 200 OK\r\n" + fields + " Content-Length: 3\r\n\r\n123"},
    {"a tab before a name", "HTTP/1.1 200 OK\r\n" + fields + "\tContent-Length: 3\r\n\r\n123"},
    {"a blank before another name", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n X: a\r\n\r\n123"},
    {"a blank before the first name",
     "HTTP/1.1 200 OK\r\n X: a\r\n" + fields + "Content-Length: 3\r\n\r\n123"},
    {"a line of blanks", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 3\r\n  \r\n\r\n123"},
    {"a blank in a name", "HTTP/1.1 200 OK\r\n" + fields + "X Y: a\r\nContent-Length: 3\r\n\r\n123"},
    {"a blank behind a name", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : 3\r\n\r\n123"},
    {"a tab behind a name", "HTTP/1.1 200 OK\r\n" + fields + "Content-Length\t: 3\r\n\r\n123"},
    {"a control byte in a name",
     "HTTP/1.1 200 OK\r\n" + fields + "X\x01Y: a\r\nContent-Length: 3\r\n\r\n123"},
    {"a control byte before a name",
     "HTTP/1.1 200 OK\r\n" + fields + "\x0b" + "Content-Length: 3\r\n\r\n123"},
    {"DEL in a name", "HTTP/1.1 200 OK\r\n" + fields + "X\x7fY: a\r\nContent-Length: 3\r\n\r\n123"},
    {"NUL in a name",
     "HTTP/1.1 200 OK\r\n" + fields + "X" + std::string(1, '\0') + "Y: a\r\nContent-Length: 3\r\n\r\n123"},
    {"a byte beyond ASCII in a name",
     "HTTP/1.1 200 OK\r\n" + fields + "X\xe9Y: a\r\nContent-Length: 3\r\n\r\n123"},
    {"no name", "HTTP/1.1 200 OK\r\n" + fields + ": a\r\nContent-Length: 3\r\n\r\n123"},
    {"no colon", "HTTP/1.1 200 OK\r\n" + fields + "X\r\nContent-Length: 3\r\n\r\n123"},
    {"a control byte in a value",
     "HTTP/1.1 200 OK\r\n" + fields + "X: a\x01\r\nContent-Length: 3\r\n\r\n123"},
    {"a carriage return in a value",
     "HTTP/1.1 200 OK\r\n" + fields + "X: a\rb\r\nContent-Length: 3\r\n\r\n123"},
    {"a line feed in a value", "HTTP/1.1 200 OK\r\n" + fields + "X: a\nb\r\nContent-Length: 3\r\n\r\n123"},
};

} // namespace cut

} // namespace pomelospread
