#include "entry/request_handler.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/json_codec.hpp"
#include "protocol/platform_client.hpp"

#include <boost/beast/http/verb.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace pomelospread {

namespace {

constexpr std::string_view own_prefix = "/.pomelospread/";
constexpr std::string_view addresses_path = "/.pomelospread/addresses";
constexpr std::string_view unnamed_customer = "unnamed";
constexpr std::size_t max_customer_characters = 128;
/// Clocks of instances may differ by this many epochs.
constexpr key_epoch tolerated_future_epochs = 2;
constexpr auto replication_timeout = std::chrono::milliseconds(200);

std::string_view standard(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

std::string_view path_of(http_request const& request) {
    return standard(request.target()).substr(0, standard(request.target()).find('?'));
}

http_response error_response(unsigned status, field_problem const& problem) {
    nlohmann::json const body{{"error", "invalid_request"},
                              {"outcome", "not-run"},
                              {"field", problem.field},
                              {"problem", problem.problem},
                              {"allowed", problem.allowed}};
    auto response = make_response(status, "application/json",
                                  body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    set_field(response, header::outcome, "not-run");
    return response;
}

std::int64_t unix_ms_now() {
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// The caller may shorten the route's deadline, not extend it. Throws `invalid_input`.
std::chrono::milliseconds deadline_of(http_request const& request, route_row const& route) {
    auto const text = field_of(request, header::deadline_ms);
    if (text.empty()) {
        return route.deadline;
    }
    std::int64_t value = 0;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 1 ||
        value > table_limits::max_deadline_ms) {
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
    auto const customer = field_of(request, header::customer);
    if (customer.empty()) {
        return std::string(unnamed_customer);
    }
    if (customer.size() > max_customer_characters || !is_visible_ascii(customer)) {
        throw invalid_input({{.field = std::string(header::customer),
                              .problem = "is not a customer's name",
                              .allowed = "1 to 128 visible ASCII characters without spaces"}});
    }
    return std::string(customer);
}

/// Counts an entered request as in progress and leaves its customer's limit at the end, also by an exception.
class progress_guard {
public:
    progress_guard(shared_parts& shared, std::string const& limit_key)
        : m_shared(shared), m_limit_key(limit_key) {
        m_shared.in_progress.fetch_add(1);
    }
    ~progress_guard() {
        m_shared.in_progress.fetch_sub(1);
        m_shared.customers.leave(m_limit_key);
    }
    progress_guard(progress_guard const&) = delete;
    progress_guard& operator=(progress_guard const&) = delete;

private:
    shared_parts& m_shared;
    std::string const& m_limit_key;
};

} // namespace

request_handler::request_handler(io_thread& thread, shared_parts& shared)
    : m_shared(shared), m_links(thread, shared.self.id, shared.account.stored_through(),
                                [&shared](instance_id peer) { shared.report_unreachable(peer); }),
      m_relays(thread.io(), shared), m_dispatcher(thread, shared),
      m_claims(shared, m_links, m_relays, m_dispatcher) {}

http_response request_handler::handle(http_request& request) {
    try {
        if (path_of(request) == addresses_path) {
            return answer_addresses(request);
        }
        if (path_of(request).starts_with(own_prefix)) {
            return error_response(404, {.field = "path",
                                        .problem = "the system has no such page",
                                        .allowed = std::string(addresses_path)});
        }
        return forward(request);
    } catch (invalid_input const& failure) {
        return error_response(400, failure.problems().front());
    } catch (std::exception const& failure) {
        log_line(log_level::error, "request_failed").field("reason", failure.what()).write();
        auto response = failed_result(outcome_kind::unknown, "internal error").response;
        response.result(500);
        set_field(response, header::outcome, "unknown");
        return response;
    }
}

http_response request_handler::answer_addresses(http_request const& request) {
    m_shared.counters.add(counter::address_answers);
    auto const fleet = m_shared.fleet.load();
    auto const target = standard(request.target());
    auto const path = query_value(target, "path");
    auto method = query_value(target, "method");
    if (method.empty()) {
        method = "GET";
    }
    auto const* route = fleet->content->find_route(method, path);
    if (route == nullptr) {
        return error_response(404, {.field = "path",
                                    .problem = "no route serves " + method + " \"" + path + "\"",
                                    .allowed = "a path and method of a route"});
    }
    auto const zone = query_value(target, "zone");
    if (fleet->is_cut_off) {
        return failed_result(outcome_kind::not_run, "this instance is cut off; ask another").response;
    }
    auto const answer = place_caller(*fleet->content->find_pool(route->pool), zone, fleet->members,
                                     epoch_at(std::chrono::system_clock::now()), m_shared.settings.placement,
                                     thread_random());
    if (!answer) {
        return failed_result(outcome_kind::not_run, "no instance can be handed out").response;
    }
    nlohmann::json addresses = nlohmann::json::array();
    for (auto const& entry : answer->addresses) {
        addresses.push_back({{"address", to_string(entry.caller_address)}, {"zone", entry.zone}});
    }
    log_line(log_level::info, "caller_placed")
        .field("route", route->name)
        .field("pool", route->pool)
        .field("caller_zone", zone)
        .field("first", to_string(answer->addresses.front().caller_address))
        .field("reason", answer->reason)
        .field("keep_ms", static_cast<std::int64_t>(answer->keep_for.count()))
        .write();
    nlohmann::json const body{{"addresses", addresses},
                              {"keep_ms", answer->keep_for.count()},
                              {"key_prefix", to_string(answer->prefix)},
                              {"route", route->name},
                              {"idempotent", route->idempotent},
                              {"zone", m_shared.self.zone},
                              {"tables_version", fleet->content->version}};
    return make_response(200, "application/json", body.dump() + "\n");
}

http_response request_handler::forward(http_request& request) {
    auto const started = steady_now();
    m_shared.counters.add(counter::requests);
    request_context context;
    std::optional<http_response> refusal;
    try {
        refusal = admit(context, request);
    } catch (invalid_input const& failure) {
        refusal = error_response(400, failure.problems().front());
    }
    if (refusal) {
        record_refusal(context, *refusal);
        return std::move(*refusal);
    }
    return finish(context, serve_within_limit(context, request), started);
}

void request_handler::record_refusal(request_context& context, http_response const& refusal) {
    m_shared.counters.add(counter::outcome_not_run);
    if (context.record.customer.empty()) {
        return;
    }
    context.record.outcome = std::string(to_string(outcome_kind::not_run));
    context.record.status = static_cast<std::uint16_t>(refusal.result_int());
    // Nothing ran, so the caller does not wait for a second copy of this record.
    bool const recorded = m_shared.account.append(context.record).has_value();
    m_shared.counters.add(recorded ? counter::records_unreplicated : counter::records_refused);
}

request_result request_handler::serve_within_limit(request_context& context, http_request& request) {
    // The instance that decides on a request applies the limit, so a request that is passed on is not held
    // twice.
    if (!is_decided_here(context)) {
        return serve(context, request);
    }
    if (auto result = relay_to_home(context, request); result) {
        return std::move(*result);
    }
    auto const limit_key = context.record.customer + "\n" + context.route->name;
    if (!m_shared.customers.try_enter(limit_key, context.route->customer_concurrency)) {
        m_shared.counters.add(counter::refused_customer_limit);
        auto result = refuse(context, "the customer has too many requests in progress");
        if (result.kind == outcome_kind::not_run) {
            result.response.result(429);
            set_field(result.response, "Retry-After", "1");
        }
        return result;
    }
    progress_guard const guard(m_shared, limit_key);
    return serve(context, request);
}

std::optional<request_result> request_handler::relay_to_home(request_context& context,
                                                             http_request const& request) {
    auto const& pool = *context.pool;
    bool const was_relayed = !field_of(request, header::relay).empty();
    if (!context.route->idempotent || pool.is_home || was_relayed || pool.other_homes.empty()) {
        return std::nullopt;
    }
    auto const& home = pool.other_homes[thread_random()() % pool.other_homes.size()];
    // A lookup may run twice, so a relay that broke is followed by serving it here.
    return m_relays.relay(context, home.id, relay_purpose::forward, request);
}

bool request_handler::is_decided_here(request_context const& context) const {
    return context.key.empty() || parse_key(context.key).primary == m_shared.self.id;
}

request_result request_handler::refuse(request_context& context, std::string reason) {
    return context.key.empty() ? failed_result(outcome_kind::not_run, std::move(reason))
                               : m_claims.refuse_unserved(context, std::move(reason));
}

std::optional<http_response> request_handler::admit(request_context& context, http_request const& request) {
    context.fleet = m_shared.fleet.load();
    auto const& content = *context.fleet->content;
    auto const method = standard(request.method_string());
    auto& record = context.record;
    record.customer = customer_of(request);
    record.id = format_instance(m_shared.self.id) + "-" + std::to_string(m_shared.next_request.fetch_add(1));
    record.unix_ms = unix_ms_now();
    record.method = std::string(method);
    record.path = std::string(standard(request.target()));
    if (content.version == 0) {
        auto refusal = failed_result(outcome_kind::not_run, "this instance has no tables yet").response;
        set_field(refusal, header::outcome, "not-run");
        return refusal;
    }
    context.route = content.find_route(method, path_of(request));
    if (context.route == nullptr) {
        return error_response(404, {.field = "path",
                                    .problem = "no route serves this path and method",
                                    .allowed = "a path and method of a route"});
    }
    record.route = context.route->name;
    context.pool = context.fleet->find_pool(context.route->pool);
    context.deadline = std::chrono::steady_clock::now() + deadline_of(request, *context.route);
    if (!context.route->idempotent) {
        context.key = key_of(context, request);
        record.key = context.key;
    }
    return std::nullopt;
}

std::string request_handler::key_of(request_context const& context, http_request const& request) {
    auto given = std::string(field_of(request, header::idempotency_key));
    if (given.empty()) {
        return m_claims.mint(context);
    }
    if (!is_minted_key(given)) {
        throw invalid_input(
            {{.field = std::string(header::idempotency_key),
              .problem = "\"" + given + "\" does not begin with a key prefix",
              .allowed = "the key_prefix of an address answer, '-', and characters of your own; "
                         "or no key for a request that will not be retried"}});
    }
    if (parse_key(given).epoch > epoch_at(std::chrono::system_clock::now()) + tolerated_future_epochs) {
        throw invalid_input({{.field = std::string(header::idempotency_key),
                              .problem = "its prefix lies in the future",
                              .allowed = "a prefix of an address answer"}});
    }
    return given;
}

request_result request_handler::serve(request_context& context, http_request& request) {
    if (is_decided_here(context)) {
        start_replication(context);
        if (context.record_sequence == 0) {
            return refuse(context, "the account has no room for the request's record");
        }
    }
    return context.route->idempotent ? m_dispatcher.dispatch_idempotent(context, request)
                                     : m_claims.serve(context, request);
}

void request_handler::start_replication(request_context& context) {
    context.record_sequence = m_shared.account.append(context.record).value_or(0);
    if (context.record_sequence == 0) {
        m_shared.counters.add(counter::records_refused);
        return;
    }
    // The claim itself carries the record of a request whose witness is known; a second copy does no harm.
    if (context.route->idempotent && !context.pool->partners.empty()) {
        context.replicated =
            m_links.to(context.pool->partners.front())
                ->send(record_message{.record_sequence = context.record_sequence, .record = context.record});
    }
}

void request_handler::finish_replication(request_context& context, request_result const& result) {
    context.record.outcome = std::string(to_string(result.kind));
    context.record.status = static_cast<std::uint16_t>(result.response.result_int());
    if (context.record_sequence == 0) {
        context.record_sequence = m_shared.account.append(context.record).value_or(0);
    } else {
        m_shared.account.complete(context.record_sequence, context.record);
    }
    auto const deadline = std::chrono::steady_clock::now() + replication_timeout;
    bool replicated =
        context.replicated != nullptr && context.replicated->wait_until(deadline) == peer_result::accepted;
    // The partner may have gone since the snapshot; the members of now may know another.
    for (std::size_t attempt = 0; !replicated && attempt < context.pool->partners.size() && attempt < 2;
         ++attempt) {
        auto const wait =
            m_links.to(context.pool->partners[attempt])
                ->send(record_message{.record_sequence = context.record_sequence, .record = context.record});
        replicated = wait->wait_until(deadline) == peer_result::accepted;
    }
    m_shared.counters.add(replicated ? counter::records_replicated : counter::records_unreplicated);
}

http_response request_handler::finish(request_context& context, request_result result, nanoseconds started) {
    if (!context.recorded_elsewhere) {
        finish_replication(context, result);
    }
    switch (result.kind) {
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
    set_field(response, header::outcome, to_string(result.kind));
    set_field(response, header::request_id, context.record.id);
    if (!context.key.empty()) {
        set_field(response, header::idempotency_key, context.key);
    }
    erase_field(response, "Keep-Alive");
    erase_field(response, "Connection");
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
        .field("outcome", to_string(result.kind))
        .field("status", static_cast<std::int64_t>(response.result_int()))
        .field("reason", result.reason)
        .field("microseconds", std::chrono::duration_cast<std::chrono::microseconds>(latency).count())
        .write();
    return response;
}

} // namespace pomelospread
