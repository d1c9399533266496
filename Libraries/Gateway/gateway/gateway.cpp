#include "gateway/gateway.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <csignal>

namespace pomelospread {

namespace {

using std::chrono::milliseconds;

constexpr auto stop_poll_interval = milliseconds(20);
/// New requests are accepted for this share of the grace period, since a caller may keep using an address
/// response for up to three times its ttl. The rest is left for the requests in progress.
constexpr double accepting_share = 0.55;
/// The end of the grace period, reserved for writing the account records and for the exit.
constexpr auto exit_reserve = milliseconds(600);
/// Before that, the time in which the last responses are written and reach their callers.
constexpr auto last_response_reserve = milliseconds(100);

std::string_view path_of(http_request const& request) {
    std::string_view const target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

http_response make_not_found_response(std::string_view allowed) {
    return make_response(404, "application/json",
                         "{\"error\":\"no such page\",\"allowed\":\"" + std::string(allowed) + "\"}\n");
}

instance_entry make_instance_entry(gateway_settings const& settings) {
    return {.id = thread_random()() | 1U,
            .zone = settings.zone,
            .caller_address = settings.caller_address,
            .peer_address = settings.peer_address,
            .admin_address = settings.admin_address.value_or(endpoint{settings.caller_address.address, 0}),
            .leaving = false,
            .processor_permille = settings.processor_permille};
}

} // namespace

gateway::gateway(gateway_settings settings, forwarding_wire_format const& wire_format,
                 store_factory const& make_store)
    : m_thread("forwarding"), m_self(make_instance_entry(settings)),
      m_state(std::move(settings), wire_format, m_self.id),
      m_target_client(m_thread.io(), wire_format, target_client_limits{}),
      m_dispatcher(m_thread, m_state, m_target_client), m_store(make_store(m_thread.io(), m_state.settings)) {
    auto const& validated_settings = m_state.settings;
    m_fleet_synchronizer =
        std::make_unique<fleet_synchronizer>(m_thread, m_state, m_target_client, *m_store, m_self);
    m_caller_server = std::make_unique<caller_server>(
        m_thread, validated_settings.caller_address,
        caller_server_callbacks{
            .handle =
                [this](http_request& request, interruption_notifier& notifier, steady_time received) {
                    return m_dispatcher.handle(request, notifier, received);
                },
            .may_run_concurrently =
                [this](http_request const& request) { return m_dispatcher.may_run_concurrently(request); },
            .limits = [this] { return m_state.routes.load()->tables().limits; }});
    m_readiness_server = std::make_unique<http_server>(
        m_thread, validated_settings.readiness_address, http_limits{},
        [this](http_request& request) { return handle_readiness_request(request); });
    m_address_server = std::make_unique<http_server>(
        m_thread, validated_settings.address_query_address, http_limits{},
        [this](http_request& request) { return handle_address_request(request); });
    if (validated_settings.admin_address) {
        m_admin_server = std::make_unique<http_server>(
            m_thread, *validated_settings.admin_address, http_limits{},
            [this](http_request& request) { return handle_admin_request(request); });
    }
}

gateway::~gateway() {
    m_thread.stop();
}

void gateway::run(std::function<gateway_settings()> read_settings) {
    m_thread.run_and_wait([this] { start(); });
    boost::asio::io_context signal_context(1);
    boost::asio::signal_set stop_signals(signal_context, SIGTERM, SIGINT);
    boost::asio::signal_set reload_signals(signal_context, SIGHUP);
    stop_signals.async_wait([&](auto const&, int) { signal_context.stop(); });
    std::function<void()> await_reload = [&] {
        reload_signals.async_wait([&](boost::system::error_code error, int) {
            if (!error) {
                reload_settings(read_settings);
                await_reload();
            }
        });
    };
    await_reload();
    signal_context.run();
    stop();
}

void gateway::start() {
    log_line(log_level::info, "instance_started")
        .field("version", POMELOSPREAD_VERSION)
        .field("instance", format_instance_id(m_self.id))
        .field("zone", m_self.zone)
        .field("callers", to_string(m_self.caller_address))
        .field("peers", to_string(m_self.peer_address))
        .field("store", to_string(m_state.settings.store_address))
        .write();
    m_readiness_server->start();
    m_address_server->start();
    if (m_admin_server) {
        m_admin_server->start();
    }
    m_fleet_synchronizer->start();
    m_caller_server->start();
    m_thread.spawn([this] { run_account_flush_loop(); });
}

void gateway::reload_settings(std::function<gateway_settings()> const& read_settings) {
    try {
        auto settings = read_settings();
        m_thread.run_and_wait([&] {
            auto& current = m_state.settings;
            current.seed_addresses = std::move(settings.seed_addresses);
            current.address_ttl = settings.address_ttl;
            current.shutdown_grace_period = settings.shutdown_grace_period;
            current.account_flush_interval = settings.account_flush_interval;
        });
        log_line(log_level::info, "settings_reloaded").write();
    } catch (std::exception const& failure) {
        log_line(log_level::error, "settings_rejected").field("reason", failure.what()).write();
    }
}

void gateway::stop() {
    auto const connections_end =
        std::chrono::steady_clock::now() + m_state.settings.shutdown_grace_period - exit_reserve;
    auto const serving_end = connections_end - last_response_reserve;
    auto const accept_until =
        std::chrono::steady_clock::now() +
        std::chrono::duration_cast<milliseconds>(m_state.settings.shutdown_grace_period * accepting_share);
    log_line(log_level::info, "stop_begun").write();
    m_thread.run_and_wait([&] {
        m_stopping = true;
        m_state.serving_ends_at = serving_end;
        m_fleet_synchronizer->announce_leaving();
        m_caller_server->begin_drain();
    });
    std::this_thread::sleep_until(accept_until);
    m_thread.run_and_wait([&] { m_caller_server->stop_listening(); });
    wait_for_connections(serving_end);
    m_thread.run_and_wait([&] { m_caller_server->interrupt_requests(); });
    wait_for_connections(connections_end);
    bool stored = false;
    m_thread.run_and_wait([&] {
        stored = m_state.account.flush(m_store->objects(), {}, true);
        m_fleet_synchronizer->stop();
    });
    log_line(log_level::info, "stop_done").field("account_stored", stored ? "yes" : "no").write();
    log_writer::stop();
    // Exits without destructors: fibers may still wait for the platform or for callers that do not close, and
    // there is nothing left to send or store for them.
    std::_Exit(0);
}

void gateway::wait_for_connections(std::chrono::steady_clock::time_point until) {
    bool has_open_connections = true;
    while (has_open_connections && std::chrono::steady_clock::now() < until) {
        std::this_thread::sleep_for(stop_poll_interval);
        m_thread.run_and_wait([&] { has_open_connections = m_caller_server->open_connection_count() > 0; });
    }
}

void gateway::run_account_flush_loop() {
    while (!m_stopping) {
        boost::this_fiber::sleep_for(m_state.settings.account_flush_interval);
        if (!m_stopping) {
            static_cast<void>(m_state.account.flush(m_fleet_synchronizer->objects(), {}, false));
        }
    }
}

http_response gateway::handle_readiness_request(http_request const& request) const {
    if (path_of(request) != m_state.wire_format.ready_path) {
        return make_not_found_response(m_state.wire_format.ready_path);
    }
    bool const ready = m_fleet_synchronizer->is_ready() && !m_stopping;
    return make_response(ready ? 200 : 503, "application/json",
                         ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
}

http_response gateway::handle_address_request(http_request const& request) const {
    auto const query =
        m_state.wire_format.parse_address_query({request.target().data(), request.target().size()});
    auto const addresses = m_fleet_synchronizer->addresses_for(query);
    if (addresses.empty()) {
        return make_response(503, "application/json", "{\"error\":\"no instance can be handed out\"}\n");
    }
    return m_state.wire_format.make_address_response(addresses, m_state.settings.address_ttl);
}

http_response gateway::handle_admin_request(http_request const& request) const {
    if (request.target() == "/metrics") {
        return make_response(200, "text/plain; version=0.0.4", m_state.counters.render());
    }
    if (request.target() == "/status") {
        return make_response(200, "application/json", m_fleet_synchronizer->status_json());
    }
    return make_not_found_response("/status, /metrics");
}

} // namespace pomelospread
