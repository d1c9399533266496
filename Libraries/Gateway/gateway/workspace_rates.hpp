// Admits requests within the fleet-wide rates of their workspaces, and exchanges tokens with other instances.
#pragma once

#include "coordination/shared_rate.hpp"
#include "gateway/fleet_messages.hpp"
#include "state/routing_tables.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospread {

/// Used only on the instance's thread. Without limits nothing is sent and every request is admitted.
class workspace_rates {
public:
    using send_function = std::function<void(fleet_datagram const&, endpoint const&)>;

    explicit workspace_rates(shared_rate_policy policy) : m_rate(policy) {}

    void set_sender(send_function send) { m_send = std::move(send); }
    /// Takes the limits of the tables that are in force now.
    void set_limits(routing_tables const& tables);
    /// Sets the instances that hold parts of the rates; `self` may be one of them. Asks those of them that
    /// are `homes`, which are alive.
    void set_holders(std::vector<endpoint> const& holders, std::set<endpoint> const& homes,
                     endpoint const& self);

    /// Admits a request of the workspace, or returns when it should be sent again. Suspends the calling fiber
    /// while tokens are on the way, for at most `max_token_wait`.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> admit(workspace_row const& workspace);
    /// An admitted request was refused as not run.
    void give_back(workspace_row const& workspace);

    /// Asks a holder for the tokens that are needed, at most once in each `request_interval`.
    void send_requests();
    void receive(token_transfer const& transfer, endpoint const& sender);

    /// Of the workspace's limit, for the explanation of a decision.
    [[nodiscard]] double balance(workspace_row const& workspace) const;

private:
    using clock = std::chrono::steady_clock;

    /// A round trip between the farthest zones of a region, and the answer's way through two processes.
    static constexpr auto max_token_wait = std::chrono::milliseconds(15);
    static constexpr auto request_interval = std::chrono::milliseconds(50);

    /// Holders that are asked at once for a waiting request. It has the time for two round trips, so that one
    /// after the other would find tokens at too few of them.
    static constexpr std::size_t max_asked_holders = 5;

    /// Asks the next holders that may have tokens (of the limit, if one is given), each for an equal part.
    /// Returns false when there is none.
    bool ask_holders(std::optional<shared_rate::limit_key> key, std::size_t max_count, clock::time_point now);

    shared_rate m_rate;
    send_function m_send;
    std::vector<endpoint> m_asked_holders;
    std::size_t m_holder_count = 0;
    std::size_t m_next_holder = 0;
    clock::time_point m_asked_at{};
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_received;
};

} // namespace pomelospread
