#include "entry/relay_client.hpp"

#include "base/log.hpp"
#include "protocol/platform_json_codec.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr std::size_t max_idle_connections = 32;
constexpr auto max_idle_time = std::chrono::milliseconds(500);
constexpr auto connect_timeout = std::chrono::milliseconds(300);
/// Added to the deadline, since the other instance may respond only at the deadline and its response still
/// has to arrive.
constexpr auto response_allowance = std::chrono::milliseconds(300);

outcome_kind parse_outcome_kind(std::string_view text) {
    if (text == "ran") {
        return outcome_kind::ran;
    }
    return text == "not-run" ? outcome_kind::not_run : outcome_kind::unknown;
}

void log_relay(request_context const& context, instance_id peer, std::string_view purpose,
               std::string_view result) {
    log_line(log_level::info, "relayed")
        .field("request", context.record.id)
        .field("instance", format_instance_id(peer))
        .field("purpose", purpose)
        .field("result", result)
        .write();
}

} // namespace

relay_client::relay_client(boost::asio::io_context& io, shared_state& shared)
    : m_shared(shared), m_connections(io, max_idle_connections, max_idle_time) {}

std::optional<request_result> relay_client::relay(request_context& context, instance_id peer,
                                                  std::string_view purpose, http_request const& request) {
    auto const* member = context.fleet->find_member(peer);
    if (member == nullptr) {
        return std::nullopt;
    }
    m_shared.counters.add(counter::relays);
    auto relayed_request = request;
    set_header_field(relayed_request, header::relay, purpose);
    if (!context.idempotency_key.empty()) {
        set_header_field(relayed_request, header::idempotency_key, context.idempotency_key);
    }
    auto const remaining = context.deadline - std::chrono::steady_clock::now();
    auto const remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    set_header_field(relayed_request, header::deadline_ms,
                     std::to_string(std::max<std::int64_t>(1, remaining_ms)));
    erase_header_field(relayed_request, "Connection");
    erase_header_field(relayed_request, "Expect");
    relayed_request.keep_alive(true);
    relayed_request.prepare_payload();
    try {
        auto const& address = member->entry.caller_address;
        auto connection = m_connections.acquire_idle(address);
        if (connection == nullptr) {
            connection = m_connections.open(
                address, std::min(context.deadline, std::chrono::steady_clock::now() + connect_timeout));
        }
        auto response = connection->exchange(relayed_request, m_shared.settings.http.max_body_bytes,
                                             context.deadline + response_allowance);
        m_connections.release(address, std::move(connection));
        auto const kind = parse_outcome_kind(header_field(response, header::outcome));
        context.is_recorded_by_peer = true;
        log_relay(context, peer, purpose, to_string(kind));
        return request_result{.outcome = kind, .response = std::move(response), .reason = "relayed"};
    } catch (error const& failure) {
        log_relay(context, peer, purpose, failure.what());
        m_shared.report_unreachable(peer);
        return std::nullopt;
    }
}

} // namespace pomelospread
