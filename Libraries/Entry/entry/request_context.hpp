// The state of one request while this instance handles it, and its result.
#pragma once

#include "entry/fleet_state.hpp"
#include "protocol/http_types.hpp"
#include "protocol/peer_link.hpp"
#include "state/account_record.hpp"

#include <memory>
#include <string>

namespace pomelospread {

/// Filled in by `request_handler::admit` and by the later steps of the request.
struct request_context {
    std::shared_ptr<fleet_state const> fleet; ///< The snapshot that every step of the request uses.
    route_row const* route = nullptr;
    pool_runtime const* pool = nullptr;
    steady_time deadline;
    account_record record;
    std::uint64_t record_sequence = 0;
    /// The acknowledgement of the record by a replica peer; null if none was requested.
    std::shared_ptr<pending_ack> replication_reply;
    std::string idempotency_key;      ///< The prefixed key of a non-idempotent request; else empty.
    bool is_recorded_by_peer = false; ///< Relayed: the other instance keeps its account record.
};

/// How a request ended, as reported to the caller.
struct request_result {
    outcome_kind outcome = outcome_kind::not_run;
    http_response response;
    std::string reason; ///< For the log line, and for the response body when there is no target's response.
};

/// Builds the result of a request that has no target's response: status 502 for `unknown`, 503 for any other
/// outcome.
[[nodiscard]] request_result make_result_without_response(outcome_kind kind, std::string reason);

} // namespace pomelospread
