// Serves this instance's snapshot to other instances, and fetches theirs.
#pragma once

#include "base/metrics.hpp"
#include "gateway/fleet_messages.hpp"
#include "protocol/http_connection.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace pomelospread {

/// The parts of a snapshot that an instance asks for, so that it is not sent what it has.
struct snapshot_request {
    tables_identity tables;            ///< The requester's; tables that supersede them are sent.
    store_version target_list_version; ///< The requester's; a newer list is sent.
    bool with_members = true;
    std::string zone; ///< The requester's, for the counters of bytes.
};

/// The request target of the HTTP request, and back. `parse_snapshot_request` throws `invalid_input` naming
/// the field.
[[nodiscard]] std::string to_request_target(snapshot_request const& request);
[[nodiscard]] snapshot_request parse_snapshot_request(std::string_view request_target);

/// Used on one thread.
class snapshot_exchange {
public:
    using snapshot_source = std::function<peer_snapshot(snapshot_request const&)>;

    snapshot_exchange(connection_cache& connections, std::string own_zone, metrics& counters,
                      snapshot_source make_snapshot);

    /// Fetches a peer's snapshot; takes up to `fetch_timeout`. Throws `connect_failed`,
    /// `exchange_incomplete`, `deadline_exceeded` or `malformed_message`.
    [[nodiscard]] peer_snapshot fetch(endpoint const& peer, snapshot_request const& request);

    /// Answers a request of another instance's `fetch`.
    [[nodiscard]] http_response handle(http_request const& request) const;

    static constexpr auto fetch_timeout = std::chrono::milliseconds(800);
    static constexpr std::string_view path = "/snapshot";

private:
    connection_cache& m_connections;
    std::string m_own_zone;
    metrics& m_counters;
    snapshot_source m_make_snapshot;
};

} // namespace pomelospread
