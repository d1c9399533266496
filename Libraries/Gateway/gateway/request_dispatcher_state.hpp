// What the source files of `request_dispatcher` share: the state of a request and of its attempts. Included
// only by them.
#pragma once

#include "gateway/request_dispatcher.hpp"

#include <boost/beast/http.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

namespace detail {

/// A response that arrives up to this long after the deadline is still delivered, since it may have been in
/// transit at the deadline.
constexpr auto response_grace_period = std::chrono::milliseconds(60);

inline std::int64_t ms_between(steady_time from, steady_time to) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from).count();
}

inline std::uint32_t name_hash(std::string_view name) {
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

/// Removes the header fields that apply to a single connection (RFC 9110 section 7.6.1).
template<class Message>
void erase_connection_fields(Message& message) {
    std::vector<std::string> connection_options;
    for (auto const& token : boost::beast::http::token_list(message[boost::beast::http::field::connection])) {
        connection_options.emplace_back(token.data(), token.size());
    }
    for (auto const& name : connection_options) {
        message.erase(name);
    }
    for (auto const* name : {"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
                             "Trailer", "Upgrade", "Expect"}) {
        message.erase(name);
    }
}

} // namespace detail

struct request_dispatcher::request_state {
    http_request& request;
    interruption_notifier& notifier;
    steady_time received;
    std::shared_ptr<route_index const> routes;
    route_row const* route = nullptr;
    workspace_row const* workspace = nullptr; ///< Of the caller's key.
    bool has_rate_token = false;
    std::string id;
    std::string pool;
    steady_time deadline;                ///< The earlier of the caller's and the route's.
    steady_time target_latency_deadline; ///< A response that arrives before this time is on time.
    account_record record;
    std::uint64_t sequence = 0; ///< Of the account record; 0: none was appended.
    std::string last_target;
    std::string last_reason;

    [[nodiscard]] std::int64_t priority() const {
        return workspace == nullptr ? route->priority : workspace->priority.value_or(route->priority);
    }
    /// The same on every instance and in every version of the tables.
    [[nodiscard]] request_groups groups() const {
        return {.route = detail::name_hash(route->name),
                // 0 stands for no workspace.
                .workspace = workspace == nullptr ? 0U : std::max(1U, detail::name_hash(workspace->name))};
    }
};

struct request_dispatcher::attempt_state {
    std::string target;
    endpoint address;
    std::int64_t incarnation = 0;
    std::optional<double> slowdown; ///< Of the target, as the choice knew it.
    std::shared_ptr<http_request> request;
    steady_time started;
    steady_time deadline;
    target_client::exchange_handle handle;
    bool is_hedge = false;
    bool is_finished = false;
    bool is_result_handled = false;
    exchange_report report;
};

/// The attempts of one request. Shared by the fibers that work on the request.
struct request_dispatcher::attempt_set {
    std::vector<std::shared_ptr<attempt_state>> states;
    std::vector<std::string> excluded_targets;
    steady_time hedge_look_at = steady_time::min();
    steady_time next_hedge_probe_at = steady_time::min();
    bool is_hedge_over_limit = false;
    boost::fibers::mutex mutex;
    boost::fibers::condition_variable changed;

    void cancel_unfinished() {
        for (auto const& each : states) {
            if (!each->is_finished) {
                each->handle.cancel();
            }
        }
    }
    [[nodiscard]] std::size_t unfinished_count() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(states, [](auto const& each) { return !each->is_finished; }));
    }
    /// Attempts of which bytes may have reached the target.
    [[nodiscard]] std::int64_t sent_count() const {
        return std::ranges::count_if(states, [](auto const& each) { return each->handle.is_sent(); });
    }
    /// Also counts the attempts that are still being connected.
    [[nodiscard]] std::int64_t possibly_sent_count() const {
        return std::ranges::count_if(
            states, [](auto const& each) { return !each->is_finished || each->handle.is_sent(); });
    }
};

} // namespace pomelospread
