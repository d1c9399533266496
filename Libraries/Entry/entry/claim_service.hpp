// The life of a non-idempotent request at one instance: claim, dispatch, replay, relay and resolution.
#pragma once

#include "entry/pool_dispatcher.hpp"
#include "entry/relay_client.hpp"
#include "entry/request_context.hpp"
#include "entry/shared_parts.hpp"
#include "protocol/peer_link.hpp"

namespace pomelospread {

/// One thread's part in claims.
class claim_service {
public:
    claim_service(shared_parts& shared, peer_links& links, relay_client& relays, pool_dispatcher& dispatcher);

    /// Serves a request whose key is minted and was checked at admission; `context.key` is set.
    request_result serve(request_context& context, http_request const& request);

    /// Refuses a request before it was served, so that no copy of it can run under its key any more.
    request_result refuse_unserved(request_context& context, std::string reason);

    /// A key for a request that came without one: nobody else knows it, so only this request can use it.
    [[nodiscard]] std::string mint(request_context const& context);

private:
    request_result serve_as_primary(request_context& context, key_prefix const& prefix,
                                    http_request const& request);
    request_result claim_and_dispatch(request_context& context, key_prefix const& prefix,
                                      http_request const& request);
    request_result refuse(request_context& context, key_prefix const& prefix, std::string reason);
    [[nodiscard]] peer_result ask_witness(request_context& context, key_prefix const& prefix);
    void tell_witness(request_context& context, key_prefix const& prefix, request_outcome outcome);
    request_result wait_for_outcome(request_context& context);
    request_result relay(request_context& context, key_prefix const& prefix, http_request const& request);
    request_result resolve(request_context& context, key_prefix const& prefix);

    shared_parts& m_shared;
    peer_links& m_links;
    relay_client& m_relays;
    pool_dispatcher& m_dispatcher;
};

/// The answer to a caller for a decided outcome.
[[nodiscard]] request_result replay_result(request_outcome const& outcome);

} // namespace pomelospread
