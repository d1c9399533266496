#include "coordination/rate_division_keeper.hpp"

#include "base/errors.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pomelospread {

namespace {

/// A change of the holders and its settlement follow each other in one round.
constexpr int max_changes_per_round = 4;

std::set<endpoint> without(std::set<endpoint> const& instances, std::set<endpoint> const& removed) {
    std::set<endpoint> result;
    std::ranges::set_difference(instances, removed, std::inserter(result, result.end()));
    return result;
}

} // namespace

rate_division_keeper::rate_division_keeper(endpoint self, rate_division_calls calls,
                                           rate_division_policy policy)
    : m_self(std::move(self)), m_calls(std::move(calls)), m_policy(policy), m_lease(policy.lease),
      m_started_at(m_calls.now()) {}

rate_part rate_division_keeper::part() const {
    auto result = m_lease.division().part_of(m_self);
    // What peers knew before this process started may be older than what the previous one at the address
    // acknowledged.
    bool const is_current = m_lease.confirmed_at() >= m_started_at;
    result.is_held = result.is_held && is_current && !m_has_resigned;
    return result;
}

bool rate_division_keeper::takes_part() const {
    auto const& division = m_lease.division();
    return division.holders.contains(m_self) ||
           (division.previous_holders && division.previous_holders->contains(m_self));
}

std::vector<endpoint> rate_division_keeper::other_holders() const {
    auto all = m_lease.division().holders;
    if (auto const& previous = m_lease.division().previous_holders) {
        all.insert(previous->begin(), previous->end());
    }
    all.erase(m_self);
    // Each holder asks the next one first, so that every one is asked by another.
    auto const next = all.upper_bound(m_self);
    std::vector<endpoint> result(next, all.end());
    result.insert(result.end(), all.begin(), next);
    return result;
}

std::vector<endpoint> rate_division_keeper::answering_holders() const {
    auto result = other_holders();
    std::erase_if(result, [this](endpoint const& each) {
        return !m_lease.division().holders.contains(each) || m_silent_rounds.contains(each);
    });
    return result;
}

void rate_division_keeper::run_round(rate_division_fleet const& fleet) {
    m_silent_now.clear();
    m_is_home = fleet.homes.contains(m_self);
    // A part that this instance held before its start is valid as soon as the store confirms it.
    bool const has_failed = !is_known() && !confirm(fleet);
    hear_peers(fleet);
    if (!has_failed || is_known()) {
        confirm(fleet);
    }
    bool const is_abandoned = fleet.needs_tokens && !has_heard_holder();
    bool const is_concerned = (takes_part() || m_is_home) && !fleet.is_alone;
    if (is_known() && !m_has_resigned && (is_concerned || is_abandoned || m_disputed)) {
        maintain(fleet);
    }
}

rate_division_state rate_division_keeper::answer(endpoint const& peer, rate_division_state const& state) {
    m_silent_rounds.erase(peer);
    auto& stated = m_stated_versions[peer];
    stated = std::max(stated, state.division.version);
    if (state.division.version.number > 0) {
        // When the request was sent is not known, so its age confirms nothing.
        learn(state.division, {});
    }
    return m_lease.state(m_calls.now());
}

// Knowledge

bool rate_division_keeper::is_disputed(rate_division const& division) const {
    return part().is_held && m_is_home && division.version > m_lease.division().version &&
           !division.is_settled() && division.previous_holders->contains(m_self) &&
           !division.holders.contains(m_self);
}

void rate_division_keeper::learn(rate_division const& division, time_point as_of) {
    if (is_disputed(division)) {
        m_disputed = division;
        return;
    }
    auto const before = std::pair(part(), valid_until());
    if (m_lease.learn(division, as_of, m_calls.now())) {
        for (auto const& holder : division.holders) {
            if (m_removed.erase(holder) > 0) {
                m_objected_until[holder] = m_calls.now() + m_policy.objection_validity;
                m_silent_rounds.erase(holder);
            }
        }
        m_removed = division.is_settled() ? std::set<endpoint>()
                                          : without(*division.previous_holders, division.holders);
    }
    if (before != std::pair(part(), valid_until())) {
        m_calls.part_changed();
    }
}

bool rate_division_keeper::exchange(std::vector<endpoint> const& peers) {
    if (peers.empty()) {
        return false;
    }
    auto const sent_at = m_calls.now();
    auto const answers = m_calls.exchange(peers, m_lease.state(sent_at));
    for (auto const& peer : peers) {
        auto const found = answers.find(peer);
        if (found == answers.end()) {
            m_silent_rounds[peer] += m_silent_now.insert(peer).second ? 1 : 0;
            continue;
        }
        auto const& [division, confirmed_age] = found->second;
        m_silent_rounds.erase(peer);
        auto& stated = m_stated_versions[peer];
        stated = std::max(stated, division.version);
        if (division.version.number > 0) {
            learn(division, confirmed_age ? sent_at - *confirmed_age : time_point{});
        }
    }
    return !answers.empty();
}

void rate_division_keeper::hear_peers(rate_division_fleet const& fleet) {
    auto holders = other_holders();
    if (holders.empty()) {
        if (!takes_part()) {
            exchange(fleet.peers);
        }
        return;
    }
    std::vector<endpoint> asked{holders.front()};
    if (auto const first = std::ranges::min(holders); takes_part() && first < m_self && first != asked[0]) {
        asked.push_back(first);
    }
    if (!exchange(asked)) {
        std::erase_if(holders, [this](auto const& each) { return m_silent_now.contains(each); });
        exchange(holders);
    }
}

bool rate_division_keeper::is_first_holder() const {
    auto const holders = other_holders();
    return holders.empty() || m_self < std::ranges::min(holders);
}

bool rate_division_keeper::has_heard_holder() const {
    return std::ranges::any_of(other_holders(),
                               [this](auto const& each) { return !m_silent_now.contains(each); });
}

std::optional<std::chrono::milliseconds>
rate_division_keeper::confirm_interval(rate_division_fleet const& fleet) const {
    if (takes_part()) {
        return is_first_holder() ? m_policy.first_holder_interval : m_policy.other_holder_interval;
    }
    bool const is_concerned = (m_is_home && !fleet.is_alone) || fleet.needs_tokens;
    return is_concerned && !has_heard_holder() ? std::optional(m_policy.unheard_interval) : std::nullopt;
}

bool rate_division_keeper::confirm(rate_division_fleet const& fleet) {
    auto const interval = confirm_interval(fleet);
    auto const age = m_calls.now() - m_lease.confirmed_at();
    if (!interval || (is_known() && age < *interval)) {
        return true;
    }
    try {
        read();
        return true;
    } catch (error const&) {
        // The caller of the store reports the failure. Others may reach it.
        if (age >= m_policy.lease / 2) {
            exchange(other_holders());
        }
        return false;
    }
}

void rate_division_keeper::read() {
    auto const asked_at = m_calls.now();
    learn(m_calls.read(), asked_at);
}

// Changes

bool rate_division_keeper::has_acknowledged(endpoint const& instance) const {
    if (instance == m_self) {
        return true;
    }
    auto const found = m_stated_versions.find(instance);
    return found != m_stated_versions.end() && found->second >= m_lease.division().version;
}

std::set<endpoint> rate_division_keeper::lost_holders(rate_division_fleet const& fleet) const {
    std::set<endpoint> lost;
    for (auto const& holder : other_holders()) {
        auto const silent = m_silent_rounds.find(holder);
        auto const objected = m_objected_until.find(holder);
        bool const is_silent = silent != m_silent_rounds.end() &&
                               silent->second >= m_policy.rounds_until_lost &&
                               (objected == m_objected_until.end() || m_calls.now() >= objected->second);
        if (is_silent || fleet.leaving.contains(holder)) {
            lost.insert(holder);
        }
    }
    return lost;
}

std::set<endpoint> rate_division_keeper::choose_holders(std::set<endpoint> kept,
                                                        rate_division_fleet const& fleet,
                                                        std::set<endpoint> const& lost) {
    std::vector<endpoint> asked;
    for (auto const& home : without(without(without(fleet.homes, kept), lost), fleet.leaving)) {
        if (kept.size() + asked.size() < m_policy.max_holders) {
            asked.push_back(home);
        }
    }
    bool const is_candidate = std::erase(asked, m_self) > 0;
    exchange(asked);
    if (is_candidate) {
        kept.insert(m_self);
    }
    std::ranges::copy_if(asked, std::inserter(kept, kept.end()),
                         [this](auto const& each) { return !m_silent_now.contains(each); });
    if (kept.empty()) {
        kept.insert(m_self);
    }
    return kept;
}

std::chrono::milliseconds rate_division_keeper::turn_of(std::set<endpoint> const& instances) const {
    return m_policy.turn * std::distance(instances.begin(), instances.lower_bound(m_self));
}

std::optional<rate_division> rate_division_keeper::next_division(rate_division const& current,
                                                                 rate_division_fleet const& fleet) {
    if (current.version.number == 0) {
        return first_division(current, fleet);
    }
    auto const lost = lost_holders(fleet);
    return current.is_settled() ? next_settled(current, fleet, lost) : next_unsettled(current, fleet, lost);
}

std::optional<rate_division> rate_division_keeper::first_division(rate_division const& current,
                                                                  rate_division_fleet const& fleet) {
    auto const waited = m_calls.now() - m_lease.learned_at();
    if (!fleet.has_read_members || waited < m_policy.turn + turn_of(fleet.homes)) {
        return std::nullopt;
    }
    rate_division next{.version = {}, .holders = choose_holders({}, fleet, {}), .previous_holders = {}};
    if (current.version.era > first_store_era) {
        // A store that came back from an older copy may have lost a division on which leases last.
        next.previous_holders.emplace();
    }
    return next;
}

std::optional<rate_division> rate_division_keeper::next_settled(rate_division const& current,
                                                                rate_division_fleet const& fleet,
                                                                std::set<endpoint> const& lost) {
    auto const& holders = current.holders;
    auto const remaining = without(holders, lost);
    std::set<endpoint> next;
    if (remaining.size() < holders.size()) {
        next = choose_holders(remaining, fleet, lost);
    } else {
        auto const age = m_calls.now() - m_lease.learned_at();
        if (age < m_policy.adaptation_delay + turn_of(holders)) {
            return std::nullopt;
        }
        std::set<endpoint> homes;
        std::ranges::set_intersection(holders, fleet.homes, std::inserter(homes, homes.end()));
        next = choose_holders(std::move(homes), fleet, lost);
    }
    if (next == holders) {
        return std::nullopt;
    }
    return rate_division{.version = {}, .holders = std::move(next), .previous_holders = holders};
}

std::optional<rate_division> rate_division_keeper::next_unsettled(rate_division const& current,
                                                                  rate_division_fleet const& fleet,
                                                                  std::set<endpoint> const& lost) {
    auto next = current;
    if (m_is_home && next.previous_holders->contains(m_self) && next.holders.insert(m_self).second) {
        return next;
    }
    if (auto remaining = without(next.holders, lost); remaining.size() < next.holders.size()) {
        next.holders = choose_holders(std::move(remaining), fleet, lost);
        return next == current ? std::nullopt : std::optional(next);
    }
    auto const age = m_calls.now() - m_lease.learned_at();
    auto const turn = m_written == current.version ? std::chrono::milliseconds(0) : turn_of(next.holders);
    bool const is_over = age >= m_policy.lease + m_policy.lease_margin + turn;
    if (!is_over && (next.previous_holders->empty() ||
                     !std::ranges::all_of(*next.previous_holders,
                                          [this](auto const& each) { return has_acknowledged(each); }))) {
        return std::nullopt;
    }
    next.previous_holders.reset();
    return next;
}

bool rate_division_keeper::replace(rate_division const& next, store_version expected) {
    try {
        bool const is_written = m_calls.write(next, expected);
        read();
        return is_written && division().holders == next.holders &&
               division().previous_holders == next.previous_holders;
    } catch (error const&) {
        return false; // Reported by the caller of the store; a later round reads what became of it.
    }
}

void rate_division_keeper::collect_acknowledgements() {
    if (division().is_settled() || m_written != division().version) {
        return;
    }
    std::vector<endpoint> missing;
    std::ranges::copy_if(*division().previous_holders, std::back_inserter(missing), [this](auto const& each) {
        return !has_acknowledged(each) && !m_silent_now.contains(each);
    });
    exchange(missing);
}

void rate_division_keeper::maintain(rate_division_fleet const& fleet) {
    if (auto const disputed = std::exchange(m_disputed, std::nullopt);
        disputed && disputed->version > division().version) {
        auto next = *disputed;
        next.holders.insert(m_self);
        if (!replace(next, disputed->version)) {
            return;
        }
        m_written = division().version;
    }
    for (int changes = 0; changes < max_changes_per_round; ++changes) {
        collect_acknowledgements();
        // Another one may become known while homes are asked whether they can be holders.
        auto const current = division();
        auto const next = next_division(current, fleet);
        if (!next) {
            return;
        }
        if (!replace(*next, current.version)) {
            return;
        }
        m_written = division().version;
    }
}

} // namespace pomelospread
