// Rate limits that a whole fleet shares, kept by escrow of tokens: each holder generates its part of a
// limit's tokens, and tokens move to the instances that need them. No agreement is needed. A token is
// deducted before it is sent, so that a lost message loses tokens and no message duplicates them (compare the
// escrow method: O'Neil, ACM TODS 1986, and bounded counters: Balegas et al., SRDS 2015).
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
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
    /// Tokens that were asked for and have not arrived by then are lost, and so are tokens that an instance
    /// that is no holder has not used by then. Until then they count against the capacity of the holder that
    /// gave them. Shorter than the start of a process, which forgets what it gave.
    std::chrono::milliseconds transfer_timeout{150};
    /// A holder that had nothing to give is not asked for the same limit again so soon.
    std::chrono::milliseconds empty_holder_delay{100};
    /// A holder that did not answer is not asked again so soon; the delay doubles up to the longest one.
    std::chrono::milliseconds silent_holder_delay{1000};
    std::chrono::milliseconds max_silent_holder_delay{64000};
    /// An instance that is no holder asks ahead for its requests of this time only, since tokens that it does
    /// not use are lost.
    std::chrono::milliseconds guest_horizon{100};
    /// For fewer requests, an instance asks only when one is waiting: otherwise the tokens of a small limit
    /// move to where the last request was, and not to where the next one is.
    double min_tokens_ahead = 1.0;
    double min_guest_tokens_ahead = 2.0;
    /// For so long after a holder had less than it was asked for, waiting requests of the limit ask several
    /// holders. Where most callers use instances that are no holders, limits of 30 requests/s at 0.9 lost
    /// 0.3% to 0.6% with this and 0.8% to 1.1% without.
    std::chrono::seconds scarcity_memory{60};
    /// Tokens beyond the burst that all holders together may keep, so that each can keep a whole one.
    double fleet_slack = 8.0;
    std::size_t max_amounts_per_request = 64; ///< So that a request fits in a datagram.
    /// A Retry-After is at most this long: the rate may change, and other instances may have tokens.
    std::chrono::milliseconds max_retry_after{1000};
};

/// One instance's tokens of every limit, which are named by a hash. Of the tokens of a limit, those that a
/// holder keeps, those on the way to it and those that it gave to other instances than holders within
/// `transfer_timeout` never exceed its capacity. The capacities of all holders add up to the burst and
/// `fleet_slack`, or to one token each where that is more. Tokens outside of holders live no longer than
/// `transfer_timeout`. So no window has more requests than the rate generates in it and the sum of the
/// capacities. Not thread-safe; time is passed in. Use the steady clock: after a suspension of the process,
/// an instance has at most its capacity, and tokens that were on the way to it are too late.
class shared_rate {
public:
    using limit_key = std::uint64_t;
    using time_point = std::chrono::steady_clock::time_point;

    explicit shared_rate(shared_rate_policy policy = {}) : m_policy(policy) {}

    /// Replaces the limits; a limit that stays keeps its tokens, up to its new capacity. A new one begins
    /// without tokens: with any, restarts would generate tokens beyond the rate.
    void set_limits(std::map<limit_key, rate_limit> const& limits, time_point now);
    /// Sets among how many holders the limits are divided, and whether this instance is one.
    void set_holders(std::size_t count, bool is_holder, time_point now);

    /// Takes a token for a request. Returns true for a limit that is not known.
    [[nodiscard]] bool try_take(limit_key key, time_point now);
    /// Records that a request of the limit arrived; `demand` follows from it.
    void record_arrival(limit_key key, time_point now);
    /// Returns the token of a request that was not run. It is lost at an instance that is no holder.
    void give_back(limit_key key, time_point now);
    /// When a request that finds no token should be sent again: the time at which this instance's part of the
    /// rate has a token for it, after those that were told the same. Until then it gives no tokens away.
    [[nodiscard]] std::chrono::nanoseconds promise_retry(limit_key key, time_point now);

    /// Amounts in messages are whole multiples of this; requests are rounded up, answers down.
    static constexpr double token_unit = 0.001;

    /// The tokens of one limit in a message.
    struct amount {
        limit_key key = 0;
        double tokens = 0;
    };

    /// What to ask of holder number `holder` (any stable numbering) now. The amounts count as on the way
    /// until `receive` or the end of the transfer timeout. Empty when nothing is needed from it. Asks for an
    /// equal part of what is needed if this many `holders` are to be asked at once, this one included.
    [[nodiscard]] std::vector<amount> ask(std::uint64_t holder, std::uint64_t request_id, time_point now,
                                          std::size_t holders = 1);
    /// Deducts what this instance can give of the amounts that another one asks for, and returns it, in whole
    /// multiples of `token_unit`. Only a holder gives. `to_holder`: the other one was a holder when it asked
    /// and accounts for the tokens in its own capacity.
    [[nodiscard]] std::vector<amount> give(std::vector<amount> const& asked, bool to_holder, time_point now);
    /// Adds the tokens that a holder gave for a request of `ask`. A request is answered once; tokens for an
    /// unknown, answered or timed out request are dropped.
    void receive(std::uint64_t request_id, std::vector<amount> const& given, time_point now);

    /// Whether tokens of the limit are on the way to this instance.
    [[nodiscard]] bool is_awaiting(limit_key key, time_point now);
    [[nodiscard]] double balance(limit_key key, time_point now) const;
    [[nodiscard]] bool is_holder() const noexcept { return m_is_holder; }
    [[nodiscard]] bool empty() const noexcept { return m_limits.empty(); }
    /// Whether a limit has too few tokens for this instance's requests.
    [[nodiscard]] bool needs_tokens(time_point now) const;
    /// How many holders are likely to have together what a waiting request of the limit needs.
    [[nodiscard]] std::size_t holders_to_ask(limit_key key, time_point now) const;
    /// Whether `ask` would ask this holder for any.
    [[nodiscard]] bool needs_tokens_of(std::uint64_t holder, time_point now) const;
    /// Whether `ask` would ask this holder for any of the limit.
    [[nodiscard]] bool needs_tokens_of(std::uint64_t holder, limit_key key, time_point now) const;

private:
    struct timed_amount {
        time_point until;
        double tokens = 0;
    };
    struct limit_state {
        rate_limit limit;
        double tokens = 0;
        std::deque<timed_amount> expiring; ///< `tokens` of an instance that is no holder, oldest first.
        double on_the_way = 0;
        std::deque<timed_amount> given; ///< Within the transfer timeout, oldest first.
        double given_tokens = 0;        ///< Sum of `given`.
        double waiting = 0;             ///< Requests that arrived and were neither admitted nor refused.
        double demand_per_second = 0;
        time_point updated_at{};
        time_point demand_updated_at{};
        time_point promised_until{};
        time_point scarce_until{}; ///< A holder recently had less than it was asked for.
        std::map<std::uint64_t, time_point> empty_until; ///< By holder.
    };
    struct open_request {
        std::uint64_t holder = 0;
        time_point asked_at;
        bool as_holder = false;
        std::vector<amount> amounts;
    };
    struct silent_holder {
        time_point ask_at;
        std::chrono::milliseconds delay{};
    };

    [[nodiscard]] double generated_per_second(limit_state const& state) const;
    [[nodiscard]] double capacity(limit_state const& state) const;
    [[nodiscard]] double demand(limit_state const& state, time_point now) const;
    [[nodiscard]] double wanted(limit_state const& state, time_point now) const;
    [[nodiscard]] double demand_ahead(limit_state const& state, time_point now) const;
    [[nodiscard]] double own_need(limit_state const& state, time_point now) const;
    [[nodiscard]] double kept(limit_state const& state, time_point now) const;
    [[nodiscard]] std::chrono::nanoseconds token_interval(limit_state const& state) const;
    [[nodiscard]] double room(limit_state const& state) const;
    static void drop_oldest(limit_state& state, double tokens);
    void generate_until(limit_state& state, time_point until) const;
    void generate(limit_state& state, time_point now) const;
    [[nodiscard]] bool is_answering(std::uint64_t holder, time_point now) const;
    [[nodiscard]] static bool is_empty(limit_state const& state, std::uint64_t holder, time_point now);
    void expire_requests(time_point now);
    void close_request(open_request const& request);

    shared_rate_policy m_policy;
    std::size_t m_holder_count = 1;
    bool m_is_holder = false;
    std::map<limit_key, limit_state> m_limits;
    std::map<std::uint64_t, open_request> m_open_requests;
    std::map<std::uint64_t, silent_holder> m_silent_holders;
};

} // namespace pomelospread
