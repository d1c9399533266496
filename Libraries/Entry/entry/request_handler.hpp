// Handles the HTTP requests of callers on one thread.
#pragma once

#include "entry/claim_service.hpp"
#include "entry/pool_dispatcher.hpp"
#include "entry/shared_state.hpp"
#include "protocol/peer_link.hpp"

namespace pomelospread {

/// Responds to address queries (`/.pomelospread/addresses`) and dispatches every other request by its route.
/// Belongs to one thread.
class request_handler {
public:
    request_handler(io_thread& thread, shared_state& shared);

    /// Turns every failure into an error response; no request can make it throw.
    http_response handle(http_request& request);

    [[nodiscard]] peer_link_cache& links() noexcept { return m_peer_links; }

private:
    http_response handle_address_query(http_request const& request);
    http_response handle_routed_request(http_request& request);
    request_result record_and_dispatch(request_context& context, http_request& request);
    request_result serve_with_customer_limit(request_context& context, http_request& request);
    /// Relays an idempotent request to a home of its pool, chosen at random, since the homes have the
    /// in-flight counts of its targets. Nothing when the request is to be served here or the home sent no
    /// complete response.
    std::optional<request_result> relay_to_home(request_context& context, http_request const& request);
    /// Refuses a request that was not dispatched. If it has a key, no later request with the key runs either.
    request_result refuse(request_context& context, std::string reason);
    /// Whether this instance decides on the request: it has no key, or its key names this instance as
    /// primary.
    [[nodiscard]] bool is_owned_locally(request_context const& context) const;
    /// The caller's key, or a generated one. Throws `invalid_input` naming `Idempotency-Key`.
    [[nodiscard]] std::string read_or_generate_key(request_context const& context,
                                                   http_request const& request);
    /// Fills in `context`: record, route, pool, deadline and key. Returns the response that refuses the
    /// request, or nothing when it is admitted. Throws `invalid_input` naming a header field.
    [[nodiscard]] std::optional<http_response> admit(request_context& context, http_request const& request);
    /// Adds a request that was not admitted to its customer's account.
    void record_refusal(request_context& context, http_response const& refusal);
    void append_record(request_context& context);
    void complete_record(request_context& context, request_result const& result);
    http_response finish_response(request_context& context, request_result result, nanoseconds started);

    shared_state& m_shared;
    peer_link_cache m_peer_links;
    relay_client m_relay_client;
    pool_dispatcher m_dispatcher;
    claim_service m_claim_service;
};

} // namespace pomelospread
