// One request on its way through the instance.
#pragma once

#include "entry/fleet_state.hpp"
#include "protocol/http_types.hpp"
#include "protocol/peer_link.hpp"
#include "state/account_record.hpp"

#include <memory>
#include <string>

namespace pomelospread {

/// Everything that is known about a request once it was admitted.
struct request_context {
    std::shared_ptr<fleet_state const> fleet; ///< The snapshot that the whole request sees.
    route_row const* route = nullptr;
    pool_runtime const* pool = nullptr;
    steady_time deadline;
    account_record record;
    std::uint64_t record_sequence = 0;
    std::shared_ptr<pending_ack>
        replication_reply;            ///< The partner's answer about the record, if one was asked.
    std::string idempotency_key;      ///< The minted key of a non-idempotent request.
    bool is_recorded_by_peer = false; ///< Another instance decided the request and keeps its record.
};

/// How a request ended, in the terms that the caller is told.
struct request_result {
    outcome_kind outcome = outcome_kind::not_run;
    http_response response;
    std::string reason; ///< For the log line and the answer's body when there is no target's answer.
};

/// Builds the typed answer for a request without a target's answer: 503 for not run, 502 for unknown.
[[nodiscard]] request_result make_result_without_response(outcome_kind kind, std::string reason);

} // namespace pomelospread
