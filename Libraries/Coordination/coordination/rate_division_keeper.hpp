// Keeps one instance's knowledge of the division of the fleet's rates, and the division itself, up to date.
#pragma once

#include "coordination/rate_division.hpp"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace pomelospread {

struct rate_division_policy {
    /// Each holder keeps a whole token of every limit, so their number is bounded.
    std::size_t max_holders = 16;
    /// How long a part is valid without a confirmation. An outage of the store that ends sooner stops no
    /// holder; the part of a lost one is given to others about so long after it fell silent, within the 15 s
    /// in which a fleet is to recover.
    std::chrono::milliseconds lease{8000};
    /// Added before a part is given to others: clocks that differ in rate, and tokens on the way.
    std::chrono::milliseconds lease_margin{500};
    /// The first holder reads the division at this interval, in each round; the others ask it.
    std::chrono::milliseconds first_holder_interval{900};
    /// Any other holder reads it when its own confirmation is so old. The rest of the lease is left for an
    /// outage in which the first holder could not read it either.
    std::chrono::milliseconds other_holder_interval{3000};
    /// Homes read it so often while no holder answers them.
    std::chrono::milliseconds unheard_interval{1500};
    /// A holder that does not answer in so many rounds of one instance is taken for lost. If it is only cut
    /// off from that instance, it objects through the store.
    std::size_t rounds_until_lost = 3;
    /// A holder that objected is not taken for lost again for so long.
    std::chrono::milliseconds objection_validity{30000};
    /// The holders are adapted to the homes when a division is so old.
    std::chrono::milliseconds adaptation_delay{3000};
    /// Instances act one after the other, so that they do not write the same change.
    std::chrono::milliseconds turn{500};
};

/// The calls that a keeper makes; each may suspend the calling fiber.
struct rate_division_calls {
    /// Tells peers what is known here. Returns what those that answered know, all within a short time.
    std::function<std::map<endpoint, rate_division_state>(std::vector<endpoint> const&,
                                                          rate_division_state const&)>
        exchange;
    /// Reads the division from the platform's store; version 0 when it has none. Throws an `error`.
    std::function<rate_division()> read;
    /// Replaces the division of the given version. Returns false when the store has another one. Throws an
    /// `error` when the outcome is unknown.
    std::function<bool(rate_division const& next, store_version expected)> write;
    /// `part` or `valid_until` changed. Called before anybody is told that the division is known here.
    std::function<void()> part_changed;
    std::function<boot_clock::time_point()> now;
};

/// What the instance knows of the fleet.
struct rate_division_fleet {
    std::set<endpoint> homes;    ///< Those alive; they are to be the holders.
    std::set<endpoint> leaving;  ///< They announced that they leave.
    std::vector<endpoint> peers; ///< Whom to ask while no division is known.
    bool has_read_members = false;
    bool needs_tokens = false; ///< Requests that arrive here have too few, or too few extra attempts.
    /// No other instance is heard. This one may be cut off from all others, which then live, so it changes
    /// nothing unless it needs tokens.
    bool is_alone = false;
};

/// The keeper of one instance. A division changes in two writes: the first one names the new holders beside
/// the previous ones and takes parts away, the second one, when no lease on a larger part can last, gives
/// parts. So the parts of all instances, also of those that do not know each other, never add up to more than
/// the whole rate. Not thread-safe; `answer` may be called while `run_round` is suspended.
class rate_division_keeper {
public:
    using time_point = boot_clock::time_point;

    rate_division_keeper(endpoint self, rate_division_calls calls, rate_division_policy policy = {});

    /// Hears of the division, confirms it and makes a change that is due. Call about once per second at homes
    /// and holders, and at others that need tokens or start.
    void run_round(rate_division_fleet const& fleet);
    /// Answers another instance's `exchange`.
    [[nodiscard]] rate_division_state answer(endpoint const& peer, rate_division_state const& state);
    /// This instance gives up its part: it leaves.
    void resign() noexcept { m_has_resigned = true; }

    [[nodiscard]] rate_division const& division() const noexcept { return m_lease.division(); }
    [[nodiscard]] bool is_known() const noexcept { return m_lease.is_known(); }
    [[nodiscard]] rate_part part() const;
    /// Until when `part` is valid without another confirmation.
    [[nodiscard]] time_point valid_until() const noexcept { return m_lease.valid_until(); }
    /// The other holders that answered when they were last asked.
    [[nodiscard]] std::vector<endpoint> answering_holders() const;
    /// Whether this instance is a holder, also of a change that is not settled.
    [[nodiscard]] bool takes_part() const;

private:
    void learn(rate_division const& division, time_point as_of);
    [[nodiscard]] bool is_disputed(rate_division const& division) const;
    /// Returns whether any of the peers answered.
    bool exchange(std::vector<endpoint> const& peers);
    /// The holders in the order in which this instance asks them.
    [[nodiscard]] std::vector<endpoint> other_holders() const;
    void hear_peers(rate_division_fleet const& fleet);
    /// Reads the division if its confirmation is too old. Returns false if that failed.
    bool confirm(rate_division_fleet const& fleet);
    /// How old a confirmation may be here before the store is asked; nothing when it need not be asked.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    confirm_interval(rate_division_fleet const& fleet) const;
    /// The holder whose address comes first reads the division for the others.
    [[nodiscard]] bool is_first_holder() const;
    [[nodiscard]] bool has_heard_holder() const;
    void read();
    /// Writes the changes that are due, one after the other.
    void maintain(rate_division_fleet const& fleet);
    /// Returns whether the store has `next` now.
    bool replace(rate_division const& next, store_version expected);
    void collect_acknowledgements();
    [[nodiscard]] std::optional<rate_division> next_division(rate_division const& current,
                                                             rate_division_fleet const& fleet);
    [[nodiscard]] std::optional<rate_division> first_division(rate_division const& current,
                                                              rate_division_fleet const& fleet);
    [[nodiscard]] std::optional<rate_division> next_unsettled(rate_division const& current,
                                                              rate_division_fleet const& fleet,
                                                              std::set<endpoint> const& lost);
    [[nodiscard]] std::optional<rate_division> next_settled(rate_division const& current,
                                                            rate_division_fleet const& fleet,
                                                            std::set<endpoint> const& lost);
    [[nodiscard]] std::set<endpoint> lost_holders(rate_division_fleet const& fleet) const;
    /// Whether the instance can have no lease of a version before the current one.
    [[nodiscard]] bool has_acknowledged(endpoint const& instance) const;
    /// Up to `max_holders`: `kept` ones first, then homes that answer.
    [[nodiscard]] std::set<endpoint> choose_holders(std::set<endpoint> kept, rate_division_fleet const& fleet,
                                                    std::set<endpoint> const& lost);
    /// This instance's turn among those that could make a change.
    [[nodiscard]] std::chrono::milliseconds turn_of(std::set<endpoint> const& instances) const;

    endpoint m_self;
    rate_division_calls m_calls;
    rate_division_policy m_policy;
    rate_lease m_lease;
    time_point m_started_at;
    bool m_has_resigned = false;
    bool m_is_home = false;
    store_version m_written; ///< The unsettled division that this instance wrote.
    /// A change that takes this instance's part away though it lives. It is not acknowledged but objected to.
    std::optional<rate_division> m_disputed;
    std::map<endpoint, std::size_t> m_silent_rounds;
    std::set<endpoint> m_silent_now; ///< In the current round.
    std::map<endpoint, store_version> m_stated_versions;
    std::set<endpoint> m_removed; ///< By the change that is not settled. Those that are back have objected.
    std::map<endpoint, time_point> m_objected_until;
};

} // namespace pomelospread
