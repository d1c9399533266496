// Stand-in for callers. Queries the instances for addresses, caches the response for its lifetime, sends
// requests at a given rate, and checks that each response is complete and belongs to its request. The last
// line that it prints is a JSON summary.
#include "base/endpoint.hpp"
#include "base/random.hpp"
#include "protocol/http_connection.hpp"
#include "protocol/platform_client.hpp"
#include "stand_in_main.hpp"

#include <boost/beast/http/verb.hpp>
#include <boost/fiber/operations.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <future>
#include <map>
#include <vector>

DEFINE_string(ask, "127.0.0.1:8080", "Instances to query for addresses, separated by commas.");
DEFINE_string(direct, "", "Send to this address without an address query, to measure the target alone.");
DEFINE_string(method, "GET", "HTTP method.");
DEFINE_string(path, "/badges/7", "Path.");
DEFINE_string(zone, "", "Availability zone of the caller.");
DEFINE_string(customer, "caller", "Name of the customer.");
DEFINE_int64(count, 1, "Number of requests to send.");
DEFINE_int64(seconds, 60, "Start no more requests after this many seconds.");
DEFINE_int64(concurrency, 1, "Maximum number of requests in progress.");
DEFINE_double(rate, 0, "Requests started per second; 0 starts the next one when a response arrives.");
DEFINE_int64(tries, 4, "Maximum number of attempts per request.");
DEFINE_int64(timeout_ms, 3000, "Timeout of one attempt or address query, in milliseconds.");
DEFINE_int64(warm_up, 0, "Number of first requests that are left out of the latencies.");
DEFINE_string(outcomes, "",
              "File for one JSON line per attempt of a non-idempotent request, with its key and outcome.");
DEFINE_bool(show, false, "Print each response.");

namespace pomelospread {
namespace {

using std::chrono::steady_clock;

/// The response to an address query.
struct placement {
    std::vector<endpoint> addresses;
    std::string key_prefix;
    bool idempotent = true;
    steady_clock::time_point valid_until;
};

struct summary {
    std::map<std::string, std::uint64_t> outcomes;
    std::uint64_t failed = 0; ///< Requests whose last attempt did not have the outcome `ran`.
    /// Responses with the outcome `ran` that lack the token of their request: they belong to another one or
    /// are incomplete.
    std::uint64_t mismatched = 0;
    std::uint64_t extra_attempts = 0;
    std::vector<double> latencies_ms;
};

class caller {
public:
    explicit caller(io_thread& thread)
        : m_thread(thread), m_connections(thread.io(), 64, std::chrono::seconds(5)) {
        std::string list = FLAGS_ask;
        while (!list.empty()) {
            auto const comma = list.find(',');
            m_query_addresses.push_back(parse_endpoint(list.substr(0, comma), "--ask"));
            list = comma == std::string::npos ? "" : list.substr(comma + 1);
        }
        if (!FLAGS_outcomes.empty()) {
            m_outcome_file.open(FLAGS_outcomes);
        }
    }

    /// Sends requests one after the other until `--count` or `--seconds` is reached. Runs on `--concurrency`
    /// fibers at the same time, which share the count.
    void send_all() {
        while (m_started_requests < FLAGS_count &&
               steady_clock::now() < m_start + std::chrono::seconds(FLAGS_seconds)) {
            auto const number = m_started_requests++;
            auto due = steady_clock::now();
            if (FLAGS_rate > 0) {
                due = m_start + std::chrono::microseconds(static_cast<std::int64_t>(
                                    static_cast<double>(number) / FLAGS_rate * 1e6));
                boost::this_fiber::sleep_until(due);
            }
            send_one(number, due);
        }
    }

    [[nodiscard]] summary& result() { return m_summary; }

private:
    placement const& current_placement() {
        if (!FLAGS_direct.empty()) {
            m_placement.addresses = {parse_endpoint(FLAGS_direct, "--direct")};
            return m_placement;
        }
        if (steady_clock::now() < m_placement.valid_until) {
            return m_placement;
        }
        // Any instance can answer; those of the last response are queried first.
        auto candidates = m_placement.addresses;
        candidates.insert(candidates.end(), m_query_addresses.begin(), m_query_addresses.end());
        for (auto const& address : candidates) {
            if (query_addresses(address)) {
                break;
            }
        }
        return m_placement;
    }

    bool query_addresses(endpoint const& address) {
        auto const target = "/.pomelospread/addresses?path=" + percent_encode(FLAGS_path) +
                            "&method=" + FLAGS_method + "&zone=" + FLAGS_zone;
        try {
            auto const response = exchange(address, http_request(boost::beast::http::verb::get, target, 11));
            auto const document = nlohmann::json::parse(response.body());
            placement received;
            for (auto const& entry : document.at("addresses")) {
                received.addresses.push_back(
                    parse_endpoint(entry.at("address").get<std::string>(), "address"));
            }
            received.key_prefix = document.at("key_prefix");
            received.idempotent = document.at("idempotent");
            received.valid_until =
                steady_clock::now() + std::chrono::milliseconds(document.at("keep_ms").get<std::int64_t>());
            m_placement = std::move(received);
            return true;
        } catch (std::exception const&) {
            return false;
        }
    }

    http_response exchange(endpoint const& address, http_request const& request) {
        auto const deadline = steady_clock::now() + std::chrono::milliseconds(FLAGS_timeout_ms);
        auto connection = m_connections.acquire_idle(address);
        if (connection == nullptr) {
            connection = m_connections.open(address, deadline);
        }
        auto response = connection->exchange(request, std::size_t{1024} * 1024, deadline);
        m_connections.release(address, std::move(connection));
        return response;
    }

    void send_one(std::int64_t number, steady_clock::time_point due) {
        std::string outcome = "no-answer";
        std::string key;
        for (std::int64_t attempt = 0; attempt < FLAGS_tries; ++attempt) {
            auto const placement_used = current_placement();
            if (placement_used.addresses.empty()) {
                boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
                continue;
            }
            if (attempt > 0) {
                ++m_summary.extra_attempts;
            }
            // A request that got no response or whose outcome is unknown is retried with the same key at
            // another address. After `not-run` the key cannot be used again, so the next attempt gets a new
            // one.
            if (!placement_used.idempotent && (key.empty() || outcome == "not-run")) {
                key = placement_used.key_prefix + "-" + std::to_string(number) + "-" +
                      std::to_string(thread_random()());
            }
            auto const& address =
                placement_used.addresses[static_cast<std::size_t>(attempt) % placement_used.addresses.size()];
            outcome = send_attempt(address, key, number);
            record_outcome(key, outcome);
            if (outcome == "ran") {
                break;
            }
            m_placement.valid_until = {};
        }
        ++m_summary.outcomes[outcome];
        if (outcome != "ran") {
            ++m_summary.failed;
        }
        if (number >= FLAGS_warm_up) {
            m_summary.latencies_ms.push_back(
                std::chrono::duration<double, std::milli>(steady_clock::now() - due).count());
        }
    }

    std::string send_attempt(endpoint const& address, std::string const& key, std::int64_t number) {
        http_request request;
        request.method_string(boost::beast::string_view(FLAGS_method));
        request.target(FLAGS_path);
        request.version(11);
        set_header_field(request, "Host", to_string(address));
        set_header_field(request, header::customer, FLAGS_customer);
        auto const token = FLAGS_customer + "-" + std::to_string(number);
        set_header_field(request, "Caller-Token", token);
        if (!key.empty()) {
            set_header_field(request, header::idempotency_key, key);
            request.body() = R"({"amount":1})";
        }
        request.prepare_payload();
        try {
            auto const response = exchange(address, request);
            auto outcome = std::string(header_field(response, header::outcome));
            if (!FLAGS_direct.empty()) {
                outcome = "ran";
            }
            if (outcome == "ran" &&
                response.body().find("\"caller_token\":\"" + token + "\"") == std::string::npos) {
                ++m_summary.mismatched;
            }
            if (FLAGS_show) {
                std::cout << FLAGS_method << " " << FLAGS_path << " at " << to_string(address) << ": "
                          << response.result_int() << " " << outcome << " " << response.body();
            }
            return outcome;
        } catch (error const&) {
            return "no-answer";
        }
    }

    void record_outcome(std::string const& key, std::string const& outcome) {
        if (m_outcome_file.is_open() && !key.empty()) {
            m_outcome_file << nlohmann::json{{"key", key}, {"outcome", outcome}}.dump() << "\n";
        }
    }

    io_thread& m_thread;
    connection_cache m_connections;
    std::vector<endpoint> m_query_addresses;
    placement m_placement;
    summary m_summary;
    std::int64_t m_started_requests = 0;
    steady_clock::time_point m_start = steady_clock::now();
    std::ofstream m_outcome_file;
};

double quantile(std::vector<double> const& sorted, double fraction) {
    if (sorted.empty()) {
        return 0.0;
    }
    auto const index = static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

int run() {
    io_thread thread("caller");
    auto const sender = std::make_unique<caller>(thread);
    std::vector<std::promise<void>> completions(static_cast<std::size_t>(FLAGS_concurrency));
    auto const begin = steady_clock::now();
    for (auto& completion : completions) {
        thread.spawn([&] {
            sender->send_all();
            completion.set_value();
        });
    }
    for (auto& completion : completions) {
        completion.get_future().wait();
    }
    auto const seconds = std::chrono::duration<double>(steady_clock::now() - begin).count();
    auto& result = sender->result();
    std::ranges::sort(result.latencies_ms);
    auto const& sorted = result.latencies_ms;
    nlohmann::json const summary_line{
        {"requests", sorted.size()},         {"seconds", seconds},
        {"outcomes", result.outcomes},       {"failed", result.failed},
        {"foreign", result.mismatched},      {"extra_tries", result.extra_attempts},
        {"p50_ms", quantile(sorted, 0.5)},   {"p99_ms", quantile(sorted, 0.99)},
        {"p999_ms", quantile(sorted, 0.999)}};
    std::cout << summary_line.dump() << std::endl;
    return result.failed == 0 && result.mismatched == 0 ? 0 : 1;
}

} // namespace
} // namespace pomelospread

int main(int argc, char** argv) {
    return pomelospread::run_stand_in(argc, argv, "caller/main.cpp", pomelospread::run);
}
