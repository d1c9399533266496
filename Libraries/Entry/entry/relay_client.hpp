// Passes a request on to another instance that decides on it or knows its pool better.
#pragma once

#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "protocol/http_connection.hpp"

#include <optional>
#include <string_view>

namespace pomelospread {

/// Why a request is passed on; the value of its `Pomelospread-Relay` field. A relayed request is not relayed
/// again.
namespace relay_purpose {
constexpr std::string_view forward = "forward"; ///< Serve it as if the caller had sent it to you.
constexpr std::string_view resolve = "resolve"; ///< Decide as witness, without the primary.
} // namespace relay_purpose

/// One thread's connections to other instances' callers' addresses.
class relay_client {
public:
    relay_client(boost::asio::io_context& io, shared_state& shared);

    /// Sends the request to `where` and answers its result; nothing when no whole answer came, after which
    /// the request may or may not have been served there.
    std::optional<request_result> relay(request_context& context, instance_id where, std::string_view purpose,
                                        http_request const& request);

private:
    shared_state& m_shared;
    connection_cache m_connections;
};

} // namespace pomelospread
