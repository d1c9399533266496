#include "entry/request_handler.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/platform_client.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace pomelospread {

namespace {

constexpr std::string_view reserved_path_prefix = "/.pomelospread/";
constexpr std::string_view addresses_path = "/.pomelospread/addresses";
constexpr std::string_view default_customer = "unnamed";
constexpr std::size_t max_customer_characters = 128;
/// How many epochs a key may lie ahead of this instance's clock, since the clocks of instances differ.
constexpr key_epoch tolerated_future_epochs = 2;
constexpr auto replication_timeout = std::chrono::milliseconds(200);

std::string_view to_string_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::string_view path_without_query(http_request const& request) {
    return to_string_view(request.target()).substr(0, to_string_view(request.target()).find('?'));
}

http_response invalid_request_response(unsigned status, field_problem const& problem) {
    nlohmann::json const body{{"error", "invalid_request"},
                              {"outcome", "not-run"},
                              {"field", problem.field},
                              {"problem", problem.problem},
                              {"allowed", problem.allowed}};
    auto response = make_response(status, "application/json",
                                  body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    set_header_field(response, header::outcome, "not-run");
    return response;
}

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The time that the request may take. The caller may shorten the route's deadline but not extend it.
/// Throws `invalid_input`.
std::chrono::milliseconds deadline_of(http_request const& request, route_row const& route) {
    auto const text = header_field(request, header::deadline_ms);
    if (text.empty()) {
        return route.deadline;
    }
    std::int64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 1 ||
        value > routing_table_limits::max_deadline_ms) {
        throw invalid_input({{.field = std::string(header::deadline_ms),
                              .problem = "\"" + std::string(text) + "\" is not a time",
                              .allowed = "1 to 600000 (milliseconds)"}});
    }
    return std::min(route.deadline, std::chrono::milliseconds(value));
}

bool is_visible_ascii(std::string_view text) {
    return std::ranges::all_of(text, [](char c) { return c > 0x20 && c < 0x7F; });
}

std::string customer_of(http_request const& request) {
    auto const customer = header_field(request, header::customer);
    if (customer.empty()) {
        return std::string(default_customer);
    }
    if (customer.size() > max_customer_characters || !is_visible_ascii(customer)) {
        throw invalid_input({{.field = std::string(header::customer),
                              .problem = "is not a customer's name",
                              .allowed = "1 to 128 visible ASCII characters without spaces"}});
    }
    return std::string(customer);
}

/// Counts a request as in progress. On destruction, also after an exception, ends the count and releases the
/// request from the customer's limit, which must have been acquired before.
class request_progress_guard {
public:
    request_progress_guard(shared_state& shared, std::string const& limit_key)
        : m_shared(shared), m_limit_key(limit_key) {
        m_shared.requests_in_progress.fetch_add(1);
    }
    ~request_progress_guard() {
        m_shared.requests_in_progress.fetch_sub(1);
        m_shared.customer_limiter.release(m_limit_key);
    }
    request_progress_guard(request_progress_guard const&) = delete;
    request_progress_guard& operator=(request_progress_guard const&) = delete;

private:
    shared_state& m_shared;
    std::string const& m_limit_key;
};

} // namespace

request_handler::request_handler(io_thread& thread, shared_state& shared)
    : m_shared(shared), m_peer_links(thread, shared.self.id, shared.account.last_stored_sequence(),
                                     [&shared](instance_id peer) { shared.report_unreachable(peer); }),
      m_relay_client(thread.io(), shared), m_dispatcher(thread, shared),
      m_claim_service(shared, m_peer_links, m_relay_client, m_dispatcher) {}

http_response request_handler::handle(http_request& request) {
    try {
        if (path_without_query(request) == addresses_path) {
            return handle_address_query(request);
        }
        if (path_without_query(request).starts_with(reserved_path_prefix)) {
            return invalid_request_response(404, {.field = "path",
                                                  .problem = "the system has no such page",
                                                  .allowed = std::string(addresses_path)});
        }
        return handle_routed_request(request);
    } catch (invalid_input const& failure) {
        return invalid_request_response(400, failure.problems().front());
    } catch (std::exception const& failure) {
        log_line(log_level::error, "request_failed").field("reason", failure.what()).write();
        auto response = make_result_without_response(outcome_kind::unknown, "internal error").response;
        response.result(500);
        set_header_field(response, header::outcome, "unknown");
        return response;
    }
}

http_response request_handler::handle_address_query(http_request const& request) {
    m_shared.counters.add(counter::address_answers);
    auto const fleet = m_shared.fleet.load();
    auto const target = to_string_view(request.target());
    auto const path = query_parameter(target, "path");
    auto method = query_parameter(target, "method");
    if (method.empty()) {
        method = "GET";
    }
    auto const* route = fleet->current_tables->find_route(method, path);
    if (route == nullptr) {
        return invalid_request_response(404, {.field = "path",
                                              .problem = "no route serves " + method + " \"" + path + "\"",
                                              .allowed = "a path and method of a route"});
    }
    auto const zone = query_parameter(target, "zone");
    if (fleet->is_isolated) {
        return make_result_without_response(outcome_kind::not_run, "this instance is cut off; ask another")
            .response;
    }
    auto const selection = select_caller_addresses(
        *fleet->current_tables->find_pool(route->pool), zone, fleet->members,
        key_epoch_at(std::chrono::system_clock::now()), m_shared.settings.placement, thread_random());
    if (!selection) {
        return make_result_without_response(outcome_kind::not_run, "no instance can be handed out").response;
    }
    nlohmann::json addresses = nlohmann::json::array();
    for (auto const& entry : selection->addresses) {
        addresses.push_back({{"address", to_string(entry.caller_address)}, {"zone", entry.zone}});
    }
    log_line(log_level::info, "caller_placed")
        .field("route", route->name)
        .field("pool", route->pool)
        .field("caller_zone", zone)
        .field("first", to_string(selection->addresses.front().caller_address))
        .field("reason", selection->reason)
        .field("keep_ms", static_cast<std::int64_t>(selection->ttl.count()))
        .write();
    nlohmann::json const body{{"addresses", addresses},
                              {"keep_ms", selection->ttl.count()},
                              {"key_prefix", to_string(selection->prefix)},
                              {"route", route->name},
                              {"idempotent", route->idempotent},
                              {"zone", m_shared.self.zone},
                              {"tables_version", fleet->current_tables->version}};
    return make_response(200, "application/json", body.dump() + "\n");
}

http_response request_handler::handle_routed_request(http_request& request) {
    auto const started = steady_now();
    m_shared.counters.add(counter::requests);
    request_context context;
    std::optional<http_response> refusal;
    try {
        refusal = admit(context, request);
    } catch (invalid_input const& failure) {
        refusal = invalid_request_response(400, failure.problems().front());
    }
    if (refusal) {
        record_refusal(context, *refusal);
        return std::move(*refusal);
    }
    return finish_response(context, serve_with_customer_limit(context, request), started);
}

void request_handler::record_refusal(request_context& context, http_response const& refusal) {
    m_shared.counters.add(counter::outcome_not_run);
    if (context.record.customer.empty()) {
        return;
    }
    context.record.outcome = std::string(to_string(outcome_kind::not_run));
    context.record.status = static_cast<std::uint16_t>(refusal.result_int());
    // The request did not run, so its response does not wait until the record is replicated.
    bool const recorded = m_shared.account.append(context.record).has_value();
    m_shared.counters.add(recorded ? counter::records_unreplicated : counter::records_refused);
}

request_result request_handler::serve_with_customer_limit(request_context& context, http_request& request) {
    // Only the instance that decides on a request applies the limit, so that a relayed request is not counted
    // twice.
    if (!is_owned_locally(context)) {
        return record_and_dispatch(context, request);
    }
    if (auto result = relay_to_home(context, request); result) {
        return std::move(*result);
    }
    auto const limit_key = context.record.customer + "\n" + context.route->name;
    if (!m_shared.customer_limiter.try_acquire(limit_key, context.route->customer_concurrency)) {
        m_shared.counters.add(counter::refused_customer_limit);
        auto result = refuse(context, "the customer has too many requests in progress");
        if (result.outcome == outcome_kind::not_run) {
            result.response.result(429);
            set_header_field(result.response, "Retry-After", "1");
        }
        return result;
    }
    request_progress_guard const guard(m_shared, limit_key);
    return record_and_dispatch(context, request);
}

std::optional<request_result> request_handler::relay_to_home(request_context& context,
                                                             http_request const& request) {
    auto const& pool = *context.pool;
    bool const was_relayed = !header_field(request, header::relay).empty();
    if (!context.route->idempotent || pool.is_home || was_relayed || pool.other_homes.empty()) {
        return std::nullopt;
    }
    auto const& home = pool.other_homes[thread_random()() % pool.other_homes.size()];
    // The request is idempotent, so after a failed relay it is served here, although the home may have run
    // it.
    return m_relay_client.relay(context, home.id, relay_purpose::forward, request);
}

bool request_handler::is_owned_locally(request_context const& context) const {
    return context.idempotency_key.empty() ||
           parse_key_prefix(context.idempotency_key).primary == m_shared.self.id;
}

request_result request_handler::refuse(request_context& context, std::string reason) {
    return context.idempotency_key.empty()
               ? make_result_without_response(outcome_kind::not_run, std::move(reason))
               : m_claim_service.refuse_before_dispatch(context, std::move(reason));
}

std::optional<http_response> request_handler::admit(request_context& context, http_request const& request) {
    context.fleet = m_shared.fleet.load();
    auto const& tables = *context.fleet->current_tables;
    auto const method = to_string_view(request.method_string());
    auto& record = context.record;
    record.customer = customer_of(request);
    record.id = format_instance_id(m_shared.self.id) + "-" +
                std::to_string(m_shared.next_request_number.fetch_add(1));
    record.unix_ms = unix_ms_now();
    record.method = std::string(method);
    record.path = std::string(to_string_view(request.target()));
    if (tables.version == 0) {
        auto refusal =
            make_result_without_response(outcome_kind::not_run, "this instance has no tables yet").response;
        set_header_field(refusal, header::outcome, "not-run");
        return refusal;
    }
    context.route = tables.find_route(method, path_without_query(request));
    if (context.route == nullptr) {
        return invalid_request_response(404, {.field = "path",
                                              .problem = "no route serves this path and method",
                                              .allowed = "a path and method of a route"});
    }
    record.route = context.route->name;
    context.pool = context.fleet->find_pool(context.route->pool);
    context.deadline = std::chrono::steady_clock::now() + deadline_of(request, *context.route);
    if (!context.route->idempotent) {
        context.idempotency_key = read_or_generate_key(context, request);
        record.key = context.idempotency_key;
    }
    return std::nullopt;
}

std::string request_handler::read_or_generate_key(request_context const& context,
                                                  http_request const& request) {
    auto key = std::string(header_field(request, header::idempotency_key));
    if (key.empty()) {
        return m_claim_service.generate_key(context);
    }
    if (!is_prefixed_key(key)) {
        throw invalid_input(
            {{.field = std::string(header::idempotency_key),
              .problem = "\"" + key + "\" does not begin with a key prefix",
              .allowed = "the key_prefix of an address answer, '-', and characters of your own; "
                         "or no key for a request that will not be retried"}});
    }
    if (parse_key_prefix(key).epoch >
        key_epoch_at(std::chrono::system_clock::now()) + tolerated_future_epochs) {
        throw invalid_input({{.field = std::string(header::idempotency_key),
                              .problem = "its prefix lies in the future",
                              .allowed = "a prefix of an address answer"}});
    }
    return key;
}

request_result request_handler::record_and_dispatch(request_context& context, http_request& request) {
    if (is_owned_locally(context)) {
        append_record(context);
        if (context.record_sequence == 0) {
            return refuse(context, "the account has no room for the request's record");
        }
    }
    return context.route->idempotent ? m_dispatcher.dispatch_idempotent(context, request)
                                     : m_claim_service.serve(context, request);
}

void request_handler::append_record(request_context& context) {
    context.record_sequence = m_shared.account.append(context.record).value_or(0);
    if (context.record_sequence == 0) {
        m_shared.counters.add(counter::records_refused);
        return;
    }
    // The claim of a non-idempotent request carries its record to the witness, so only idempotent requests
    // send it here. A second replica of a record does no harm.
    if (context.route->idempotent && !context.pool->replica_peers.empty()) {
        context.replication_reply =
            m_peer_links.link_to(context.pool->replica_peers.front())
                ->send(record_replica_message{.record_sequence = context.record_sequence,
                                              .record = context.record});
    }
}

void request_handler::complete_record(request_context& context, request_result const& result) {
    context.record.outcome = std::string(to_string(result.outcome));
    context.record.status = static_cast<std::uint16_t>(result.response.result_int());
    if (context.record_sequence == 0) {
        context.record_sequence = m_shared.account.append(context.record).value_or(0);
    } else {
        m_shared.account.complete(context.record_sequence, context.record);
    }
    auto const deadline = std::chrono::steady_clock::now() + replication_timeout;
    bool replicated = context.replication_reply != nullptr &&
                      context.replication_reply->wait_until(deadline) == ack_status::accepted;
    // The replica peer may have left since `context.fleet` was loaded, so the record is sent to the first two
    // candidates, one after the other, until one accepts it.
    // All waits share one deadline.
    for (std::size_t candidate = 0;
         !replicated && candidate < context.pool->replica_peers.size() && candidate < 2; ++candidate) {
        auto const ack = m_peer_links.link_to(context.pool->replica_peers[candidate])
                             ->send(record_replica_message{.record_sequence = context.record_sequence,
                                                           .record = context.record});
        replicated = ack->wait_until(deadline) == ack_status::accepted;
    }
    m_shared.counters.add(replicated ? counter::records_replicated : counter::records_unreplicated);
}

http_response request_handler::finish_response(request_context& context, request_result result,
                                               nanoseconds started) {
    if (!context.is_recorded_by_peer) {
        complete_record(context, result);
    }
    switch (result.outcome) {
    case outcome_kind::ran:
        m_shared.counters.add(counter::outcome_ran);
        break;
    case outcome_kind::not_run:
        m_shared.counters.add(counter::outcome_not_run);
        break;
    case outcome_kind::unknown:
        m_shared.counters.add(counter::outcome_unknown);
        break;
    }
    auto response = std::move(result.response);
    set_header_field(response, header::outcome, to_string(result.outcome));
    set_header_field(response, header::request_id, context.record.id);
    if (!context.idempotency_key.empty()) {
        set_header_field(response, header::idempotency_key, context.idempotency_key);
    }
    erase_header_field(response, "Keep-Alive");
    erase_header_field(response, "Connection");
    if (context.record.method != "HEAD") {
        response.prepare_payload();
    }
    auto const latency = steady_now() - started;
    m_shared.counters.request_latency.observe(latency);
    log_line(log_level::info, "request_done")
        .field("request", context.record.id)
        .field("customer", context.record.customer)
        .field("route", context.record.route)
        .field("target", context.record.target)
        .field("outcome", to_string(result.outcome))
        .field("status", static_cast<std::int64_t>(response.result_int()))
        .field("reason", result.reason)
        .field("microseconds", std::chrono::duration_cast<std::chrono::microseconds>(latency).count())
        .write();
    return response;
}

} // namespace pomelospread
