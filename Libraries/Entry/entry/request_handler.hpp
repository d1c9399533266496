// Answers the requests of callers on one thread.
#pragma once

#include "entry/claim_service.hpp"
#include "entry/pool_dispatcher.hpp"
#include "entry/shared_state.hpp"
#include "protocol/peer_link.hpp"

namespace pomelospread {

/// Serves the address question and forwards every other request. Belongs to one thread.
class request_handler {
public:
    request_handler(io_thread& thread, shared_state& shared);

    /// Never throws for anything that a caller sent.
    http_response handle(http_request& request);

    [[nodiscard]] peer_link_cache& links() noexcept { return m_peer_links; }

private:
    http_response handle_address_query(http_request const& request);
    http_response handle_routed_request(http_request& request);
    request_result record_and_dispatch(request_context& context, http_request& request);
    request_result serve_with_customer_limit(request_context& context, http_request& request);
    /// Passes a lookup on to a home of its pool, which knows the targets' load; nothing when none answered.
    std::optional<request_result> relay_to_home(request_context& context, http_request const& request);
    /// Refuses a request that was not served, finally for its key.
    request_result refuse(request_context& context, std::string reason);
    /// Whether this instance decides on the request, not one that its key names.
    [[nodiscard]] bool is_owned_locally(request_context const& context) const;
    /// The caller's key, or a new one. Throws `invalid_input` naming `Idempotency-Key`.
    [[nodiscard]] std::string idempotency_key_of(request_context const& context, http_request const& request);
    /// Finds route, pool and deadline. Answers a refusal, or nothing when the request may go on.
    /// Throws `invalid_input` naming a header field.
    [[nodiscard]] std::optional<http_response> admit(request_context& context, http_request const& request);
    /// Notes a request that was not admitted in its customer's account.
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
