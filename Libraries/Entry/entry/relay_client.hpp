// Relays a request to another instance: one that its key names, or a home of its pool.
#pragma once

#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "protocol/http_connection.hpp"

#include <optional>
#include <string_view>

namespace pomelospread {

/// Why a request is relayed; the value of its `Pomelospread-Relay` field. A relayed request is not relayed
/// again.
namespace relay_purpose {
constexpr std::string_view forward = "forward"; ///< Serve it like a request that came from a caller.
constexpr std::string_view resolve = "resolve"; ///< Decide as witness; the primary is unreachable.
} // namespace relay_purpose

/// One thread's connections to the caller addresses of other instances.
class relay_client {
public:
    relay_client(boost::asio::io_context& io, shared_state& shared);

    /// Sends the request to `peer` and returns its result. Nothing when `peer` is no member or sent no
    /// complete response; in the latter case the request may or may not have been served there.
    std::optional<request_result> relay(request_context& context, instance_id peer, std::string_view purpose,
                                        http_request const& request);

private:
    shared_state& m_shared;
    connection_cache m_connections;
};

} // namespace pomelospread
