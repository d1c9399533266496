#include "entry/instance.hpp"

#include "base/log.hpp"
#include "base/random.hpp"
#include "base/read_file.hpp"
#include "protocol/platform_json_codec.hpp"
#include "state/routing_tables_toml.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/fiber/operations.hpp>

#include <csignal>

namespace pomelospread {

namespace {

constexpr auto stop_poll_interval = std::chrono::milliseconds(10);
constexpr auto final_flush_retry_delay = std::chrono::milliseconds(200);
constexpr auto final_flush_timeout = std::chrono::seconds(60);
/// Longer than the largest deadline that a request can have, 10 minutes.
constexpr auto request_drain_timeout = std::chrono::minutes(11);

instance_entry make_own_entry(instance_settings const& settings) {
    return {.id = thread_random()() | 1U,
            .zone = settings.zone,
            .caller_address = settings.caller_address,
            .peer_address = settings.peer_address,
            .admin_address = settings.admin_address,
            .leaving = false};
}

} // namespace

instance::instance(instance_settings settings) {
    auto const self = make_own_entry(settings);
    m_shared = std::make_shared<shared_state>(std::move(settings), self);
    auto const& shared_settings = m_shared->settings;
    if (!shared_settings.platform_address) {
        load_embedded_tables();
    }
    m_control_thread = std::make_unique<io_thread>("control");
    if (shared_settings.platform_address) {
        m_platform_client = std::make_unique<platform_client>(
            m_control_thread->io(), *shared_settings.platform_address, shared_settings.platform_timeout);
    }
    auto const services =
        m_platform_client != nullptr
            ? platform_services{*m_platform_client, m_platform_client->objects(), *m_platform_client}
            : platform_services{m_in_memory_platform, m_in_memory_platform.objects(), m_in_memory_platform};
    m_control_plane = std::make_unique<control_plane>(*m_control_thread, *m_shared, services);
    m_shared->report_unreachable = [this](instance_id id) {
        m_control_thread->spawn([this, id] { m_control_plane->mark_suspect(id); });
    };
    m_peer_server = std::make_unique<peer_server>(
        *m_control_thread, shared_settings.peer_address, self.id, [this](instance_id from, peer_batch batch) {
            return m_control_plane->handle_peer_batch(from, std::move(batch));
        });
    m_admin_server = std::make_unique<http_server>(
        *m_control_thread, shared_settings.admin_address, shared_settings.http,
        [this](http_request& request) { return handle_admin_request(request); });
    for (std::size_t i = 0; i < shared_settings.worker_threads; ++i) {
        worker new_worker;
        new_worker.thread = std::make_unique<io_thread>("callers-" + std::to_string(i));
        new_worker.handler = std::make_unique<request_handler>(*new_worker.thread, *m_shared);
        auto* const handler = new_worker.handler.get();
        new_worker.server = std::make_unique<http_server>(
            *new_worker.thread, shared_settings.caller_address, shared_settings.http,
            [handler](http_request& request) { return handler->handle(request); });
        m_workers.push_back(std::move(new_worker));
    }
}

instance::~instance() {
    // Fibers use the servers and handlers, so the threads that run them end first.
    for (auto& each : m_workers) {
        each.thread->stop();
    }
    m_control_thread->stop();
    m_admin_server.reset();
    m_peer_server.reset();
    m_workers.clear();
    // Both hold sockets and timers of the control thread's io_context, which must outlive them.
    m_control_plane.reset();
    m_platform_client.reset();
    m_control_thread.reset();
}

void instance::load_embedded_tables() {
    auto const& settings = m_shared->settings;
    if (settings.routes_file.empty() && settings.pools_file.empty()) {
        return;
    }
    // Both files are needed, since a route without its pool is invalid.
    auto const declared = parse_tables({settings.routes_file, read_file(settings.routes_file, "--routes")},
                                       {settings.pools_file, read_file(settings.pools_file, "--pools")});
    table_store(m_in_memory_platform).merge_and_commit(declared, 0, "embedded", "embedded", 0);
}

void instance::run() {
    start();
    boost::asio::io_context signal_io(1);
    boost::asio::signal_set stop_signals(signal_io, SIGTERM, SIGINT);
    stop_signals.async_wait([](auto const&, int) {});
    signal_io.run();
    stop();
}

void instance::start() {
    m_control_plane->start();
    m_peer_server->start();
    m_admin_server->start();
    for (auto& each : m_workers) {
        each.server->start();
    }
    log_line(log_level::info, "instance_started")
        .field("instance", format_instance_id(m_shared->self.id))
        .field("zone", m_shared->self.zone)
        .field("callers", to_string(m_shared->self.caller_address))
        .field("peers", to_string(m_shared->self.peer_address))
        .field("operators", to_string(m_shared->self.admin_address))
        .write();
}

void instance::stop() {
    log_line(log_level::info, "stop_begun").write();
    m_control_thread->run_and_wait([&] { m_control_plane->announce_leaving(); });
    for (auto& each : m_workers) {
        each.server->begin_drain();
    }
    // Callers may use an address response obtained earlier until its ttl ends, so this instance keeps
    // serving.
    std::this_thread::sleep_for(m_shared->settings.drain_duration);
    for (auto& each : m_workers) {
        each.thread->run_and_wait([&] { each.server->stop_listening(); });
    }
    wait_for_requests_in_progress();
    bool stored = false;
    auto const flush_deadline = std::chrono::steady_clock::now() + final_flush_timeout;
    while (!stored && std::chrono::steady_clock::now() < flush_deadline) {
        m_control_thread->run_and_wait([&] { stored = m_control_plane->flush_and_deregister(); });
        if (!stored) {
            std::this_thread::sleep_for(final_flush_retry_delay);
        }
    }
    for (auto& each : m_workers) {
        each.thread->run_and_wait([&] { each.handler->links().close_all(); });
    }
    m_control_thread->run_and_wait([&] {
        m_admin_server->stop_listening();
        m_peer_server->stop();
        m_control_plane->stop();
    });
    log_line(log_level::info, "stop_done").field("account_stored", stored ? "yes" : "no").write();
}

void instance::wait_for_requests_in_progress() {
    auto const deadline = std::chrono::steady_clock::now() + request_drain_timeout;
    for (auto& each : m_workers) {
        bool flushed = false;
        while ((each.server->open_connections() > 0 || !flushed) &&
               std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(stop_poll_interval);
            each.thread->run_and_wait([&] { flushed = each.handler->links().are_flushed(); });
        }
    }
}

http_response instance::handle_admin_request(http_request const& request) const {
    auto const path = std::string_view(request.target().data(), request.target().size());
    if (path == "/metrics") {
        return make_response(200, "text/plain; version=0.0.4", m_shared->counters.render());
    }
    if (path == "/status") {
        return make_response(200, "application/json", m_control_plane->status_json());
    }
    return make_response(404, "application/json",
                         R"({"error":"no such page","allowed":["/status","/metrics"]})"
                         "\n");
}

} // namespace pomelospread
