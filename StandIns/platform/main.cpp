// Stand-in for the platform: a transactional table service, an object store and a lagging instance list over
// HTTP. `POST /faults` makes it simulate outages, slow calls and lost responses.
#include "base/endpoint.hpp"
#include "coordination/in_memory_platform.hpp"
#include "protocol/http_server.hpp"
#include "protocol/platform_client.hpp"
#include "protocol/platform_json_codec.hpp"
#include "stand_in_main.hpp"

#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>

#include <chrono>
#include <deque>

DEFINE_string(listen, "127.0.0.1:7000", "Address to listen on.");
DEFINE_int64(list_lag_ms, 500, "Age of the state that the instance list shows, in milliseconds.");

namespace pomelospread {
namespace {

using std::chrono::steady_clock;

/// The faults that the platform currently simulates; set with `POST /faults`.
struct platform_faults {
    bool outage = false; ///< Every call is refused with status 503.
    /// Writes take effect, but their response is delayed until the client has timed out.
    bool lose_responses = false;
    std::int64_t delay_ms = 0; ///< Every call is delayed by this time.
};

class platform_stand_in {
public:
    http_response handle(http_request& request) {
        auto const target = std::string_view(request.target().data(), request.target().size());
        auto const path = target.substr(0, target.find('?'));
        if (path == "/faults") {
            return set_faults(request);
        }
        if (path == "/counts") {
            nlohmann::json const counts{{"reads", m_reads}, {"writes", m_writes}};
            return make_response(200, "application/json", counts.dump());
        }
        if (m_faults.delay_ms > 0) {
            boost::this_fiber::sleep_for(std::chrono::milliseconds(m_faults.delay_ms));
        }
        if (m_faults.outage) {
            return make_response(503, "text/plain", "outage");
        }
        bool const is_write = request.method() != boost::beast::http::verb::get;
        ++(is_write ? m_writes : m_reads);
        auto response = dispatch(request, path, target);
        if (is_write && m_faults.lose_responses) {
            // The write took effect, but the client times out before the response is sent: its timeout is 1 s
            // by default for instances and 2 s for pomelospreadctl.
            boost::this_fiber::sleep_for(std::chrono::seconds(3));
        }
        return response;
    }

private:
    http_response set_faults(http_request const& request) {
        auto const document = nlohmann::json::parse(request.body());
        m_faults.outage = document.value("outage", false);
        m_faults.lose_responses = document.value("lose_answers", false);
        m_faults.delay_ms = document.value("delay_ms", std::int64_t{0});
        return make_response(200, "application/json", "{}\n");
    }

    http_response dispatch(http_request& request, std::string_view path, std::string_view target) {
        try {
            if (path == "/table/read") {
                return json_response(to_json(m_platform.read(query_parameter(target, "key"))));
            }
            if (path == "/table/list") {
                return list_cells(query_parameter(target, "prefix"));
            }
            if (path == "/table/transact") {
                return transact(nlohmann::json::parse(request.body()));
            }
            if (path == "/objects") {
                return handle_object(request, query_parameter(target, "name"));
            }
            if (path == "/objects/list") {
                return json_response(m_platform.objects().list(query_parameter(target, "prefix")));
            }
            if (path == "/instances") {
                return handle_instances(request, target);
            }
        } catch (version_conflict const& failure) {
            return make_response(409, "text/plain", failure.what());
        } catch (std::exception const& failure) {
            return make_response(400, "text/plain", failure.what());
        }
        return make_response(404, "text/plain", "no such page");
    }

    static http_response json_response(nlohmann::json const& document) {
        return make_response(200, "application/json", document.dump());
    }

    http_response list_cells(std::string const& prefix) {
        auto cells = nlohmann::json::array();
        for (auto const& cell : m_platform.list(prefix)) {
            cells.push_back(to_json(cell));
        }
        return json_response(cells);
    }

    http_response transact(nlohmann::json const& document) {
        std::vector<table_condition> conditions;
        std::vector<table_write> writes;
        for (auto const& condition : document.at("conditions")) {
            conditions.push_back({condition.at("key"), condition.at("version")});
        }
        for (auto const& write : document.at("writes")) {
            writes.push_back({write.at("key"), write.at("value")});
        }
        m_platform.transact(conditions, writes);
        return json_response({{"committed", true}});
    }

    http_response handle_object(http_request const& request, std::string const& name) {
        if (request.method() == boost::beast::http::verb::put) {
            m_platform.objects().put(name, request.body());
            return json_response({{"stored", true}});
        }
        auto content = m_platform.objects().get(name);
        return content ? make_response(200, "application/octet-stream", std::move(*content))
                       : make_response(404, "text/plain", "no such object");
    }

    http_response handle_instances(http_request const& request, std::string_view target) {
        if (request.method() == boost::beast::http::verb::put) {
            m_platform.register_instance(instance_entry_from_json(nlohmann::json::parse(request.body())));
            return json_response({{"announced", true}});
        }
        if (request.method() == boost::beast::http::verb::delete_) {
            m_platform.deregister_instance(parse_instance_id(query_parameter(target, "id")));
            return json_response({{"withdrawn", true}});
        }
        return json_response(lagging_instance_list());
    }

    /// Records the current instance list and returns the newest recorded list that is at least
    /// `--list_lag_ms` old, or the oldest one if none is.
    nlohmann::json lagging_instance_list() {
        auto current = nlohmann::json::array();
        for (auto const& entry : static_cast<instance_registry&>(m_platform).list_instances()) {
            current.push_back(to_json(entry));
        }
        auto const now = steady_clock::now();
        m_instance_list_history.emplace_back(now, std::move(current));
        auto const newest_visible = now - std::chrono::milliseconds(FLAGS_list_lag_ms);
        while (m_instance_list_history.size() > 1 && m_instance_list_history[1].first <= newest_visible) {
            m_instance_list_history.pop_front();
        }
        return m_instance_list_history.front().second;
    }

    in_memory_platform m_platform;
    platform_faults m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
    std::deque<std::pair<steady_clock::time_point, nlohmann::json>> m_instance_list_history;
};

int run() {
    io_thread thread("platform");
    platform_stand_in platform;
    http_limits limits;
    limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
    http_server server(thread, parse_endpoint(FLAGS_listen, "--listen"), limits,
                       [&](http_request& request) { return platform.handle(request); });
    server.start();
    std::cout << "listening " << to_string(server.local_address()) << std::endl;
    wait_for_stop_signal();
    thread.run_and_wait([&] { server.stop_listening(); });
    thread.stop();
    return 0;
}

} // namespace
} // namespace pomelospread

int main(int argc, char** argv) {
    return pomelospread::run_stand_in(argc, argv, "platform/main.cpp", pomelospread::run);
}
