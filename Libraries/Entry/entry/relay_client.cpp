#include "entry/relay_client.hpp"

#include "base/log.hpp"
#include "protocol/platform_json_codec.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

constexpr std::size_t max_idle_relays = 32;
constexpr auto max_relay_idle_time = std::chrono::milliseconds(500);
constexpr auto connect_timeout = std::chrono::milliseconds(300);
/// The other instance answers at its deadline; the answer then still has to arrive.
constexpr auto answer_allowance = std::chrono::milliseconds(300);

outcome_kind kind_from_text(std::string_view text) {
    if (text == "ran") {
        return outcome_kind::ran;
    }
    return text == "not-run" ? outcome_kind::not_run : outcome_kind::unknown;
}

void log_relay(request_context const& context, instance_id where, std::string_view purpose,
               std::string_view result) {
    log_line(log_level::info, "relayed")
        .field("request", context.record.id)
        .field("instance", format_instance_id(where))
        .field("purpose", purpose)
        .field("result", result)
        .write();
}

} // namespace

relay_client::relay_client(boost::asio::io_context& io, shared_state& shared)
    : m_shared(shared), m_connections(io, max_idle_relays, max_relay_idle_time) {}

std::optional<request_result> relay_client::relay(request_context& context, instance_id where,
                                                  std::string_view purpose, http_request const& request) {
    auto const* member = context.fleet->find_member(where);
    if (member == nullptr) {
        return std::nullopt;
    }
    m_shared.counters.add(counter::relays);
    auto relayed = request;
    set_header_field(relayed, header::relay, purpose);
    if (!context.idempotency_key.empty()) {
        set_header_field(relayed, header::idempotency_key, context.idempotency_key);
    }
    auto const left = context.deadline - std::chrono::steady_clock::now();
    auto const left_ms = std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
    set_header_field(relayed, header::deadline_ms, std::to_string(std::max<std::int64_t>(1, left_ms)));
    erase_header_field(relayed, "Connection");
    erase_header_field(relayed, "Expect");
    relayed.keep_alive(true);
    relayed.prepare_payload();
    try {
        auto const& address = member->entry.caller_address;
        auto connection = m_connections.acquire_idle(address);
        if (connection == nullptr) {
            connection = m_connections.open(
                address, std::min(context.deadline, std::chrono::steady_clock::now() + connect_timeout));
        }
        auto response = connection->exchange(relayed, m_shared.settings.http.max_body_bytes,
                                             context.deadline + answer_allowance);
        m_connections.release(address, std::move(connection));
        auto const kind = kind_from_text(header_field(response, header::outcome));
        context.is_recorded_by_peer = true;
        log_relay(context, where, purpose, to_string(kind));
        return request_result{.outcome = kind, .response = std::move(response), .reason = "relayed"};
    } catch (error const& failure) {
        log_relay(context, where, purpose, failure.what());
        m_shared.report_unreachable(where);
        return std::nullopt;
    }
}

} // namespace pomelospread
