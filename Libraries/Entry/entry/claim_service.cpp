#include "entry/claim_service.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/json_codec.hpp"

#include <boost/fiber/operations.hpp>

#include <algorithm>
#include <utility>

namespace pomelospread {

namespace {

constexpr auto outcome_poll = std::chrono::milliseconds(2);

key_epoch current_epoch() {
    return epoch_at(std::chrono::system_clock::now());
}

void log_claim(request_context const& context, std::string_view step, std::string_view reason) {
    log_line(log_level::info, "claim")
        .field("request", context.record.id)
        .field("key", context.key)
        .field("step", step)
        .field("reason", reason)
        .write();
}

request_outcome outcome_of(request_result const& result) {
    request_outcome outcome{.kind = result.kind};
    if (result.kind == outcome_kind::ran) {
        outcome.status = static_cast<std::uint16_t>(result.response.result_int());
        outcome.content_type = std::string(field_of(result.response, "Content-Type"));
        outcome.body = result.response.body();
    }
    return outcome;
}

} // namespace

request_result replay_result(request_outcome const& outcome) {
    if (outcome.kind != outcome_kind::ran) {
        return failed_result(outcome.kind, "decided before");
    }
    if (!outcome.answer_kept) {
        auto result = failed_result(outcome_kind::ran, "ran before; its answer was too large to be kept");
        result.response.result(200);
        return result;
    }
    return {.kind = outcome_kind::ran,
            .response = make_response(outcome.status, outcome.content_type, outcome.body),
            .reason = "replayed"};
}

claim_service::claim_service(shared_parts& shared, peer_links& links, relay_client& relays,
                             pool_dispatcher& dispatcher)
    : m_shared(shared), m_links(links), m_relays(relays), m_dispatcher(dispatcher) {}

std::string claim_service::mint(request_context const& context) {
    auto const& partners = context.pool->partners;
    key_prefix const prefix{.primary = m_shared.self.id,
                            .witness = partners.empty() ? 0 : partners.front().id,
                            .epoch = current_epoch()};
    return to_string(prefix) + "-" + format_instance(thread_random()()) + format_instance(thread_random()());
}

request_result claim_service::refuse_unserved(request_context& context, std::string reason) {
    return refuse(context, parse_key(context.key), std::move(reason));
}

request_result claim_service::serve(request_context& context, http_request const& request) {
    auto const prefix = parse_key(context.key);
    if (prefix.primary == m_shared.self.id) {
        return serve_as_primary(context, prefix, request);
    }
    if (prefix.witness == m_shared.self.id && field_of(request, header::relay) == relay_purpose::resolve) {
        return resolve(context, prefix);
    }
    return relay(context, prefix, request);
}

request_result claim_service::serve_as_primary(request_context& context, key_prefix const& prefix,
                                               http_request const& request) {
    request_outcome decided;
    auto const step = m_shared.claims.with([&](claim_window& window) {
        auto const answer = window.begin(context.key, prefix.epoch);
        if (answer.outcome != nullptr) {
            decided = *answer.outcome;
        }
        return answer.step;
    });
    switch (step) {
    case primary_step::claim:
        return claim_and_dispatch(context, prefix, request);
    case primary_step::wait:
        log_claim(context, "wait", "another copy is in progress");
        return wait_for_outcome(context);
    case primary_step::replay:
        log_claim(context, "replay", to_string(decided.kind));
        m_shared.counters.add(counter::keys_replayed);
        return replay_result(decided);
    case primary_step::too_old:
        return failed_result(outcome_kind::unknown, "the key is older than the instance remembers");
    case primary_step::window_full:
        return failed_result(outcome_kind::unknown, "the instance has no memory left for keys");
    }
    return failed_result(outcome_kind::unknown, "no such step");
}

request_result claim_service::claim_and_dispatch(request_context& context, key_prefix const& prefix,
                                                 http_request const& request) {
    if (prefix.witness != 0) {
        auto const answer = ask_witness(context, prefix);
        if (answer != peer_result::accepted) {
            return refuse(context, prefix,
                          answer == peer_result::refused ? "the witness refused the claim"
                                                         : "the witness did not answer");
        }
    }
    if (std::chrono::steady_clock::now() >= context.deadline) {
        return refuse(context, prefix, "the deadline passed before the dispatch");
    }
    bool const granted =
        m_shared.claims.with([&](claim_window& window) { return window.may_dispatch(context.key); });
    if (!granted) {
        return refuse(context, prefix, "the claim is no longer held");
    }
    log_claim(context, "dispatch", prefix.witness == 0 ? "no other instance" : "granted");
    auto result = m_dispatcher.dispatch_once(context, request);
    auto const outcome = outcome_of(result);
    m_shared.claims.with([&](claim_window& window) { window.finish(context.key, outcome); });
    tell_witness(context, prefix, outcome);
    return result;
}

request_result claim_service::refuse(request_context& context, key_prefix const& prefix, std::string reason) {
    auto const outcome =
        m_shared.claims.with([&](claim_window& window) { return window.refuse(context.key, prefix.epoch); });
    log_claim(context, "refuse", reason);
    tell_witness(context, prefix, outcome);
    if (outcome.kind == outcome_kind::ran) {
        return replay_result(outcome);
    }
    return failed_result(outcome.kind, std::move(reason));
}

peer_result claim_service::ask_witness(request_context& context, key_prefix const& prefix) {
    auto const* witness = context.fleet->find_member(prefix.witness);
    if (witness == nullptr) {
        return peer_result::no_answer;
    }
    m_shared.counters.add(counter::claims_sent);
    auto const started = steady_now();
    claim_message message{.key = context.key,
                          .epoch = prefix.epoch,
                          .record_sequence = context.record_sequence,
                          .record = context.record};
    auto const wait = m_links.to(witness->entry)->send(std::move(message));
    auto const limit = std::chrono::steady_clock::now() + m_shared.settings.claim_timeout;
    auto const answer = wait->wait_until(std::min(context.deadline, limit));
    m_shared.counters.claim_latency.observe(steady_now() - started);
    switch (answer) {
    case peer_result::accepted:
        m_shared.counters.add(counter::claims_granted);
        context.replicated = wait;
        break;
    case peer_result::refused:
        m_shared.counters.add(counter::claims_refused);
        break;
    case peer_result::no_answer:
        m_shared.counters.add(counter::claims_unanswered);
        m_shared.report_unreachable(prefix.witness);
        break;
    }
    return answer;
}

void claim_service::tell_witness(request_context& context, key_prefix const& prefix,
                                 request_outcome outcome) {
    auto const* witness = prefix.witness == 0 ? nullptr : context.fleet->find_member(prefix.witness);
    if (witness == nullptr) {
        return;
    }
    if (outcome.body.size() > m_shared.settings.claims.max_kept_body_bytes) {
        outcome.body.clear();
    } else {
        outcome.answer_kept = outcome.kind == outcome_kind::ran;
    }
    m_links.to(witness->entry)
        ->post(outcome_message{.key = context.key, .epoch = prefix.epoch, .outcome = std::move(outcome)});
}

request_result claim_service::wait_for_outcome(request_context& context) {
    // Copies of one request in progress are rare, so they look again instead of being woken.
    while (std::chrono::steady_clock::now() < context.deadline) {
        std::optional<request_outcome> decided;
        m_shared.claims.with([&](claim_window& window) {
            if (auto const* outcome = window.outcome(context.key); outcome != nullptr) {
                decided = *outcome;
            }
        });
        if (decided) {
            return replay_result(*decided);
        }
        boost::this_fiber::sleep_for(outcome_poll);
    }
    return failed_result(outcome_kind::unknown, "another copy of the request is still in progress");
}

request_result claim_service::relay(request_context& context, key_prefix const& prefix,
                                    http_request const& request) {
    if (!field_of(request, header::relay).empty()) {
        return failed_result(outcome_kind::unknown, "the instance that the key names is not this one");
    }
    if (auto result = m_relays.relay(context, prefix.primary, relay_purpose::forward, request); result) {
        return std::move(*result);
    }
    if (prefix.witness == m_shared.self.id) {
        return resolve(context, prefix);
    }
    if (prefix.witness != 0) {
        if (auto result = m_relays.relay(context, prefix.witness, relay_purpose::resolve, request); result) {
            return std::move(*result);
        }
    }
    return failed_result(outcome_kind::unknown, "neither instance that the key names answered");
}

request_result claim_service::resolve(request_context& context, key_prefix const& prefix) {
    auto const outcome =
        m_shared.claims.with([&](claim_window& window) { return window.resolve(context.key, prefix.epoch); });
    log_claim(context, "resolve", to_string(outcome.kind));
    if (outcome.kind == outcome_kind::not_run) {
        m_shared.counters.add(counter::keys_fenced);
    }
    return replay_result(outcome);
}

} // namespace pomelospread
