// Stands in for a target: serves requests in a few slots and counts how often each one ran.
#include "base/endpoint.hpp"
#include "base/random.hpp"
#include "protocol/http_server.hpp"
#include "stand_in_main.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <random>

DEFINE_string(listen, "127.0.0.1:7100", "Address to listen on.");
DEFINE_int64(slots, 2, "Requests served at a time.");
DEFINE_double(service_ms, 2.0, "Mean service time, exponentially distributed; 0 answers at once.");
DEFINE_int64(shed_beyond, 1000, "Requests that may wait for a slot before the target sheds.");

namespace pomelospread {
namespace {

class target_stand_in {
public:
    http_response handle(http_request& request) {
        auto const target = std::string_view(request.target().data(), request.target().size());
        if (target == "/.stand-in/executions") {
            return executions();
        }
        if (target == "/.stand-in/leave") {
            m_leaving = true;
            return make_response(200, "application/json", "{}\n");
        }
        if (!take_slot()) {
            auto response = make_response(503, "text/plain", "shed\n");
            set_header_field(response, header::not_started, "1");
            return response;
        }
        auto response = execute(request);
        give_slot();
        return response;
    }

private:
    bool take_slot() {
        std::unique_lock lock(m_mutex);
        if (m_busy >= FLAGS_slots && m_waiting >= FLAGS_shed_beyond) {
            return false;
        }
        ++m_waiting;
        m_free.wait(lock, [&] { return m_busy < FLAGS_slots; });
        --m_waiting;
        ++m_busy;
        return true;
    }

    void give_slot() {
        std::unique_lock lock(m_mutex);
        --m_busy;
        m_free.notify_one();
    }

    http_response execute(http_request const& request) {
        auto const key = std::string(header_field(request, header::idempotency_key));
        ++m_executions[key.empty() ? "(lookups)" : key];
        if (FLAGS_service_ms > 0) {
            std::exponential_distribution<double> service(1.0 / FLAGS_service_ms);
            boost::this_fiber::sleep_for(
                std::chrono::microseconds(static_cast<std::int64_t>(service(thread_random()) * 1000)));
        }
        nlohmann::json const body{{"target", FLAGS_listen},
                                  {"path", std::string(request.target().data(), request.target().size())},
                                  {"key", key},
                                  {"caller_token", header_field(request, "Caller-Token")}};
        auto response = make_response(200, "application/json", body.dump() + "\n");
        if (m_leaving) {
            set_header_field(response, header::leaving, "1");
            ++m_while_leaving;
        }
        return response;
    }

    http_response executions() {
        nlohmann::json const body{{"executions", m_executions}, {"while_leaving", m_while_leaving}};
        return make_response(200, "application/json", body.dump());
    }

    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_free;
    std::int64_t m_busy = 0;
    std::int64_t m_waiting = 0;
    std::map<std::string, std::uint64_t> m_executions;
    bool m_leaving = false;
    std::uint64_t m_while_leaving = 0;
};

int run() {
    io_thread thread("target");
    target_stand_in target;
    http_limits limits;
    limits.max_connections = 20000;
    http_server server(thread, parse_endpoint(FLAGS_listen, "--listen"), limits,
                       [&](http_request& request) { return target.handle(request); });
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
    return pomelospread::run_stand_in(argc, argv, "target/main.cpp", pomelospread::run);
}
