// The life of a non-idempotent request at one instance: claim, dispatch, replay, relay and resolution.
#pragma once

#include "entry/pool_dispatcher.hpp"
#include "entry/relay_client.hpp"
#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "protocol/peer_link.hpp"

namespace pomelospread {

/// One thread's part in claims.
class claim_service {
public:
    claim_service(shared_state& shared, peer_link_cache& links, relay_client& relays,
                  pool_dispatcher& dispatcher);

    /// Serves a request whose key is minted and was checked at admission; `context.idempotency_key` is set.
    request_result serve(request_context& context, http_request const& request);

    /// Refuses a request before it was served, so that no copy of it can run under its key any more.
    request_result refuse_before_dispatch(request_context& context, std::string reason);

    /// A key for a request that came without one: nobody else knows it, so only this request can use it.
    [[nodiscard]] std::string generate_key(request_context const& context);

private:
    request_result serve_as_primary(request_context& context, key_prefix const& prefix,
                                    http_request const& request);
    request_result claim_and_dispatch(request_context& context, key_prefix const& prefix,
                                      http_request const& request);
    request_result refuse_key(request_context& context, key_prefix const& prefix, std::string reason);
    [[nodiscard]] ack_status request_claim(request_context& context, key_prefix const& prefix);
    void send_outcome_to_witness(request_context& context, key_prefix const& prefix, request_outcome outcome);
    request_result wait_for_outcome(request_context& context);
    request_result relay_to_key_owner(request_context& context, key_prefix const& prefix,
                                      http_request const& request);
    request_result resolve_as_witness(request_context& context, key_prefix const& prefix);

    shared_state& m_shared;
    peer_link_cache& m_peer_links;
    relay_client& m_relay_client;
    pool_dispatcher& m_dispatcher;
};

/// The answer to a caller for a decided outcome.
[[nodiscard]] request_result replay_result(request_outcome const& outcome);

} // namespace pomelospread
