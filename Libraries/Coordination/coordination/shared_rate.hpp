// Rate limits that a whole fleet shares, kept by escrow of tokens: each holder generates its part of a
// limit's tokens, and tokens move to the instances that need them. No agreement is needed. A token is
// deducted before it is sent, so that a lost message loses tokens and no message duplicates them (compare the
// escrow method: O'Neil, ACM TODS 1986, and bounded counters: Balegas et al., SRDS 2015).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pomelospread {

struct rate_limit {
    double per_second = 0;
    double burst = 0; ///< Requests that may arrive at once, beyond the rate.

    bool operator==(rate_limit const&) const = default;
};

struct shared_rate_policy {
    /// An instance asks for tokens when its own do not cover its requests for this time: several rounds of
    /// messages to the farthest holder.
    std::chrono::milliseconds demand_horizon{250};
    std::chrono::milliseconds demand_half_life{500};
    /// Tokens that were asked for and have not arrived by then are lost.
    std::chrono::milliseconds transfer_timeout{250};
    /// A holder that had nothing to give is not asked for the same limit again so soon.
    std::chrono::milliseconds empty_holder_delay{250};
    /// Tokens beyond the burst that all holders together may keep, so that each can keep a whole one.
    double fleet_slack = 8.0;
    std::size_t max_amounts_per_request = 64; ///< So that a request fits in a datagram.
    /// A Retry-After is at most this long: the rate may change, and other instances may have tokens.
    std::chrono::milliseconds max_retry_after{1000};
};

/// One instance's tokens of every limit, which are named by a hash. Of the tokens of a limit, those kept and
/// those on the way to this instance never exceed this instance's capacity, and the capacities of all holders
/// add up to the burst and `fleet_slack`. Not thread-safe; time is passed in. The steady clock is right for
/// it: it stands still while the process is suspended, so a suspension generates no tokens.
class shared_rate {
public:
    using limit_key = std::uint64_t;
    using time_point = std::chrono::steady_clock::time_point;

    explicit shared_rate(shared_rate_policy policy = {}) : m_policy(policy) {}

    /// Replaces the limits; a limit that stays keeps its tokens, up to its new capacity.
    void set_limits(std::map<limit_key, rate_limit> const& limits, time_point now);
    /// Sets among how many holders the limits are divided, and whether this instance is one.
    void set_holders(std::size_t count, bool is_holder, time_point now);

    /// Takes a token for a request. Returns true for a limit that is not known.
    [[nodiscard]] bool try_take(limit_key key, time_point now);
    /// Records that a request of the limit arrived; `demand` follows from it.
    void record_arrival(limit_key key, time_point now);
    /// Returns the token of a request that was not run.
    void give_back(limit_key key, time_point now);
    /// When a request that finds no token should be sent again: the time at which this instance's part of the
    /// rate has a token for it, after those that were told the same.
    [[nodiscard]] std::chrono::nanoseconds promise_retry(limit_key key, time_point now);

    /// The tokens of one limit in a message.
    struct amount {
        limit_key key = 0;
        double tokens = 0;
    };

    /// What to ask of holder number `holder` (any stable numbering) now. The amounts count as on the way
    /// until `receive` or the end of the transfer timeout. Empty when nothing is needed from it.
    [[nodiscard]] std::vector<amount> ask(std::uint64_t holder, std::uint64_t request_id, time_point now);
    /// Deducts what this instance can give of the amounts that another one asks for, and returns it.
    [[nodiscard]] std::vector<amount> give(std::vector<amount> const& asked, time_point now);
    /// Adds the tokens that a holder gave for a request of `ask`. A request is answered once; tokens for an
    /// unknown, answered or timed out request are dropped.
    void receive(std::uint64_t request_id, std::vector<amount> const& given, time_point now);

    /// Whether tokens of the limit are on the way to this instance.
    [[nodiscard]] bool is_awaiting(limit_key key, time_point now);
    [[nodiscard]] double balance(limit_key key, time_point now) const;
    [[nodiscard]] bool empty() const noexcept { return m_limits.empty(); }
    /// Whether a limit has too few tokens for this instance's requests.
    [[nodiscard]] bool needs_tokens(time_point now) const;

private:
    struct limit_state {
        rate_limit limit;
        double tokens = 0;
        double on_the_way = 0;
        double demand_per_second = 0;
        time_point updated_at{};
        time_point demand_updated_at{};
        time_point promised_until{};
        std::map<std::uint64_t, time_point> empty_until; ///< By holder.
    };
    struct open_request {
        std::uint64_t holder = 0;
        time_point asked_at;
        std::vector<amount> amounts;
    };

    [[nodiscard]] double generated_per_second(limit_state const& state) const;
    [[nodiscard]] double capacity(limit_state const& state) const;
    [[nodiscard]] double demand(limit_state const& state, time_point now) const;
    [[nodiscard]] double wanted(limit_state const& state, time_point now) const;
    void generate(limit_state& state, time_point now) const;
    void expire_requests(time_point now);
    void close_request(open_request const& request);

    shared_rate_policy m_policy;
    std::size_t m_holder_count = 1;
    bool m_is_holder = false;
    std::map<limit_key, limit_state> m_limits;
    std::map<std::uint64_t, open_request> m_open_requests;
};

} // namespace pomelospread
