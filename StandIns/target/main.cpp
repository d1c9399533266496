// Stand-in for a target. Serves requests in a limited number of slots and counts how often each idempotency
// key was executed.
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
DEFINE_int64(slots, 2, "Number of requests served at the same time.");
DEFINE_double(service_ms, 2.0, "Mean of the exponentially distributed service time; 0 responds at once.");
DEFINE_int64(shed_beyond, 1000,
             "Requests that may wait for a slot; while that many wait, the target refuses (sheds) new ones.");

namespace pomelospread {
namespace {

class target_stand_in {
public:
    http_response handle(http_request& request) {
        auto const target = std::string_view(request.target().data(), request.target().size());
        if (target == "/.stand-in/executions") {
            return executions_response();
        }
        if (target == "/.stand-in/leave") {
            m_leaving = true;
            return make_response(200, "application/json", "{}\n");
        }
        if (!acquire_slot()) {
            auto response = make_response(503, "text/plain", "shed\n");
            set_header_field(response, header::not_started, "1");
            return response;
        }
        auto response = execute(request);
        release_slot();
        return response;
    }

private:
    /// Waits for a slot. Returns false at once when `--shed_beyond` requests wait already.
    bool acquire_slot() {
        std::unique_lock lock(m_mutex);
        if (m_busy_slots >= FLAGS_slots && m_waiting_requests >= FLAGS_shed_beyond) {
            return false;
        }
        ++m_waiting_requests;
        m_slot_released.wait(lock, [&] { return m_busy_slots < FLAGS_slots; });
        --m_waiting_requests;
        ++m_busy_slots;
        return true;
    }

    void release_slot() {
        std::unique_lock lock(m_mutex);
        --m_busy_slots;
        m_slot_released.notify_one();
    }

    http_response execute(http_request const& request) {
        auto const key = std::string(header_field(request, header::idempotency_key));
        ++m_executions[key.empty() ? "(lookups)" : key];
        if (FLAGS_service_ms > 0) {
            std::exponential_distribution<double> service_time(1.0 / FLAGS_service_ms);
            boost::this_fiber::sleep_for(
                std::chrono::microseconds(static_cast<std::int64_t>(service_time(thread_random()) * 1000)));
        }
        nlohmann::json const body{{"target", FLAGS_listen},
                                  {"path", std::string(request.target().data(), request.target().size())},
                                  {"key", key},
                                  {"caller_token", header_field(request, "Caller-Token")}};
        auto response = make_response(200, "application/json", body.dump() + "\n");
        if (m_leaving) {
            set_header_field(response, header::leaving, "1");
            ++m_executions_while_leaving;
        }
        return response;
    }

    http_response executions_response() {
        nlohmann::json const body{{"executions", m_executions},
                                  {"while_leaving", m_executions_while_leaving}};
        return make_response(200, "application/json", body.dump());
    }

    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_slot_released;
    std::int64_t m_busy_slots = 0;
    std::int64_t m_waiting_requests = 0;
    std::map<std::string, std::uint64_t> m_executions;
    bool m_leaving = false;
    std::uint64_t m_executions_while_leaving = 0;
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
