#include "entry/claim_service.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace pomelospread {

namespace {

constexpr auto outcome_poll_interval = std::chrono::milliseconds(2);

key_epoch current_epoch() {
    return key_epoch_at(std::chrono::system_clock::now());
}

void log_claim(request_context const& context, std::string_view step, std::string_view reason) {
    log_line(log_level::info, "claim")
        .field("request", context.record.id)
        .field("key", context.idempotency_key)
        .field("step", step)
        .field("reason", reason)
        .write();
}

request_outcome outcome_of(request_result const& result) {
    request_outcome outcome{.kind = result.outcome};
    if (result.outcome == outcome_kind::ran) {
        outcome.status = static_cast<std::uint16_t>(result.response.result_int());
        outcome.content_type = std::string(header_field(result.response, "Content-Type"));
        outcome.body = result.response.body();
    }
    return outcome;
}

} // namespace

request_result replay_result(request_outcome const& outcome) {
    if (outcome.kind != outcome_kind::ran) {
        return make_result_without_response(outcome.kind, "decided before");
    }
    if (!outcome.response_retained) {
        auto result = make_result_without_response(outcome_kind::ran,
                                                   "ran before; its answer was too large to be kept");
        result.response.result(200);
        return result;
    }
    return {.outcome = outcome_kind::ran,
            .response = make_response(outcome.status, outcome.content_type, outcome.body),
            .reason = "replayed"};
}

claim_service::claim_service(shared_state& shared, peer_link_cache& links, relay_client& relays,
                             pool_dispatcher& dispatcher)
    : m_shared(shared), m_peer_links(links), m_relay_client(relays), m_dispatcher(dispatcher) {}

std::string claim_service::generate_key(request_context const& context) {
    auto const& candidates = context.pool->replica_peers;
    key_prefix const prefix{.primary = m_shared.self.id,
                            .witness = candidates.empty() ? 0 : candidates.front().id,
                            .epoch = current_epoch()};
    return to_string(prefix) + "-" + format_instance_id(thread_random()()) +
           format_instance_id(thread_random()());
}

request_result claim_service::refuse_before_dispatch(request_context& context, std::string reason) {
    return refuse_key(context, parse_key_prefix(context.idempotency_key), std::move(reason));
}

request_result claim_service::serve(request_context& context, http_request const& request) {
    auto const prefix = parse_key_prefix(context.idempotency_key);
    if (prefix.primary == m_shared.self.id) {
        return serve_as_primary(context, prefix, request);
    }
    if (prefix.witness == m_shared.self.id &&
        header_field(request, header::relay) == relay_purpose::resolve) {
        return resolve_as_witness(context, prefix);
    }
    return relay_to_key_owner(context, prefix, request);
}

request_result claim_service::serve_as_primary(request_context& context, key_prefix const& prefix,
                                               http_request const& request) {
    request_outcome decided;
    auto const action = m_shared.claims.with_lock([&](claim_window& window) {
        auto const decision = window.begin_request(context.idempotency_key, prefix.epoch);
        if (decision.outcome != nullptr) {
            decided = *decision.outcome;
        }
        return decision.action;
    });
    switch (action) {
    case primary_action::claim:
        return claim_and_dispatch(context, prefix, request);
    case primary_action::wait:
        log_claim(context, "wait", "a duplicate of the request is in progress");
        return wait_for_outcome(context);
    case primary_action::replay:
        log_claim(context, "replay", to_string(decided.kind));
        m_shared.counters.add(counter::keys_replayed);
        return replay_result(decided);
    case primary_action::epoch_expired:
        return make_result_without_response(outcome_kind::unknown,
                                            "the key is older than the instance remembers");
    case primary_action::window_full:
        return make_result_without_response(outcome_kind::unknown,
                                            "the instance has no memory left for keys");
    }
    return make_result_without_response(outcome_kind::unknown, "no such step");
}

request_result claim_service::claim_and_dispatch(request_context& context, key_prefix const& prefix,
                                                 http_request const& request) {
    if (prefix.witness != 0) {
        auto const status = request_claim(context, prefix);
        if (status != ack_status::accepted) {
            return refuse_key(context, prefix,
                              status == ack_status::refused ? "the witness refused the claim"
                                                            : "the witness did not answer");
        }
    }
    if (std::chrono::steady_clock::now() >= context.deadline) {
        return refuse_key(context, prefix, "the deadline passed before the dispatch");
    }
    bool const granted = m_shared.claims.with_lock(
        [&](claim_window& window) { return window.try_mark_dispatched(context.idempotency_key); });
    if (!granted) {
        return refuse_key(context, prefix, "the claim is no longer held");
    }
    log_claim(context, "dispatch", prefix.witness == 0 ? "no other instance" : "granted");
    auto result = m_dispatcher.dispatch_non_idempotent(context, request);
    auto const outcome = outcome_of(result);
    m_shared.claims.with_lock(
        [&](claim_window& window) { window.finish_dispatch(context.idempotency_key, outcome); });
    send_outcome_to_witness(context, prefix, outcome);
    return result;
}

request_result claim_service::refuse_key(request_context& context, key_prefix const& prefix,
                                         std::string reason) {
    auto const outcome = m_shared.claims.with_lock(
        [&](claim_window& window) { return window.refuse(context.idempotency_key, prefix.epoch); });
    log_claim(context, "refuse", reason);
    send_outcome_to_witness(context, prefix, outcome);
    if (outcome.kind == outcome_kind::ran) {
        return replay_result(outcome);
    }
    return make_result_without_response(outcome.kind, std::move(reason));
}

ack_status claim_service::request_claim(request_context& context, key_prefix const& prefix) {
    auto const* witness = context.fleet->find_member(prefix.witness);
    if (witness == nullptr) {
        return ack_status::no_reply;
    }
    m_shared.counters.add(counter::claims_sent);
    auto const started = steady_now();
    claim_message message{.key = context.idempotency_key,
                          .epoch = prefix.epoch,
                          .record_sequence = context.record_sequence,
                          .record = context.record};
    auto const ack = m_peer_links.link_to(witness->entry)->send(std::move(message));
    auto const claim_deadline = std::chrono::steady_clock::now() + m_shared.settings.claim_timeout;
    auto const status = ack->wait_until(std::min(context.deadline, claim_deadline));
    m_shared.counters.claim_latency.observe(steady_now() - started);
    switch (status) {
    case ack_status::accepted:
        m_shared.counters.add(counter::claims_granted);
        context.replication_reply = ack;
        break;
    case ack_status::refused:
        m_shared.counters.add(counter::claims_refused);
        break;
    case ack_status::no_reply:
        m_shared.counters.add(counter::claims_unanswered);
        m_shared.report_unreachable(prefix.witness);
        break;
    }
    return status;
}

void claim_service::send_outcome_to_witness(request_context& context, key_prefix const& prefix,
                                            request_outcome outcome) {
    auto const* witness = prefix.witness == 0 ? nullptr : context.fleet->find_member(prefix.witness);
    if (witness == nullptr) {
        return;
    }
    if (outcome.body.size() > m_shared.settings.claims.max_retained_body_bytes) {
        outcome.body.clear();
    } else {
        outcome.response_retained = outcome.kind == outcome_kind::ran;
    }
    m_peer_links.link_to(witness->entry)
        ->send_unacknowledged(outcome_message{
            .key = context.idempotency_key, .epoch = prefix.epoch, .outcome = std::move(outcome)});
}

request_result claim_service::wait_for_outcome(request_context& context) {
    // Duplicates of a request in progress are rare, so they poll for the outcome instead of being woken.
    while (std::chrono::steady_clock::now() < context.deadline) {
        std::optional<request_outcome> decided;
        m_shared.claims.with_lock([&](claim_window& window) {
            if (auto const* outcome = window.outcome(context.idempotency_key); outcome != nullptr) {
                decided = *outcome;
            }
        });
        if (decided) {
            return replay_result(*decided);
        }
        boost::this_fiber::sleep_for(outcome_poll_interval);
    }
    return make_result_without_response(outcome_kind::unknown,
                                        "another copy of the request is still in progress");
}

request_result claim_service::relay_to_key_owner(request_context& context, key_prefix const& prefix,
                                                 http_request const& request) {
    if (!header_field(request, header::relay).empty()) {
        return make_result_without_response(outcome_kind::unknown,
                                            "the instance that the key names is not this one");
    }
    if (auto result = m_relay_client.relay(context, prefix.primary, relay_purpose::forward, request);
        result) {
        return std::move(*result);
    }
    if (prefix.witness == m_shared.self.id) {
        return resolve_as_witness(context, prefix);
    }
    if (prefix.witness != 0) {
        if (auto result = m_relay_client.relay(context, prefix.witness, relay_purpose::resolve, request);
            result) {
            return std::move(*result);
        }
    }
    return make_result_without_response(outcome_kind::unknown,
                                        "neither instance that the key names answered");
}

request_result claim_service::resolve_as_witness(request_context& context, key_prefix const& prefix) {
    auto const outcome = m_shared.claims.with_lock(
        [&](claim_window& window) { return window.resolve_outcome(context.idempotency_key, prefix.epoch); });
    log_claim(context, "resolve", to_string(outcome.kind));
    if (outcome.kind == outcome_kind::not_run) {
        m_shared.counters.add(counter::keys_fenced);
    }
    return replay_result(outcome);
}

} // namespace pomelospread
