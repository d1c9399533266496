// Admits requests within the fleet-wide rates of their workspaces, and exchanges tokens with other instances.
#pragma once

#include "base/boot_clock.hpp"
#include "coordination/rate_division.hpp"
#include "coordination/shared_rate.hpp"
#include "gateway/fleet_messages.hpp"
#include "state/routing_tables.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <functional>
#include <optional>
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
    /// Whether no workspace has a limit.
    [[nodiscard]] bool empty() const noexcept { return m_rate.empty(); }
    /// Whether requests of a workspace need more tokens than there are.
    [[nodiscard]] bool needs_tokens() const { return m_rate.needs_tokens(clock::now()); }
    /// Sets this instance's part of every rate, which ends at `valid_until`, and the holders to ask.
    void set_part(rate_part part, boot_clock::time_point valid_until, std::vector<endpoint> holders_to_ask);

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
    /// A Retry-After is at least this long while no holder is known: a starting instance learns of them.
    static constexpr auto no_holder_retry_delay = std::chrono::milliseconds(400);

    /// Holders that are asked at once for a waiting request. It has the time for two round trips, so that one
    /// after the other would find tokens at too few of them.
    static constexpr std::size_t max_asked_holders = 5;

    /// Ends the part when its time is over.
    void expire_part();
    /// Asks the next holders that may have tokens (of the limit, if one is given), each for an equal part.
    /// Returns false when there is none.
    bool ask_holders(std::optional<shared_rate::limit_key> key, std::size_t max_count, clock::time_point now);

    shared_rate m_rate;
    send_function m_send;
    std::vector<endpoint> m_asked_holders;
    rate_part m_part;
    boot_clock::time_point m_part_valid_until{};
    std::size_t m_next_holder = 0;
    clock::time_point m_asked_at{};
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_received;
};

} // namespace pomelospread
