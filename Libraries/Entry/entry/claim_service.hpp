// Serves non-idempotent requests, so that each runs at most once under its key: claim, dispatch, replay,
// relay and resolution. coordination/claim_window.hpp describes the protocol.
#pragma once

#include "entry/pool_dispatcher.hpp"
#include "entry/relay_client.hpp"
#include "entry/request_context.hpp"
#include "entry/shared_state.hpp"
#include "protocol/peer_link.hpp"

namespace pomelospread {

/// Belongs to one thread; the claim window is shared by all threads.
class claim_service {
public:
    claim_service(shared_state& shared, peer_link_cache& links, relay_client& relays,
                  pool_dispatcher& dispatcher);

    /// Serves a request whose `context.idempotency_key` is a prefixed key, checked at admission.
    request_result serve(request_context& context, http_request const& request);

    /// Refuses a request before its dispatch and decides its key, so that no duplicate of it can run later.
    request_result refuse_before_dispatch(request_context& context, std::string reason);

    /// Generates a key for a request that came without one. No other request can carry it.
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

/// The result to return to a caller for a decided outcome.
[[nodiscard]] request_result replay_result(request_outcome const& outcome);

} // namespace pomelospread
