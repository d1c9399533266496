// Two instances, callers, a target and a network in which every message may be delayed, lost or repeated.
// The oracle counts executions and remembers what callers were told.
#pragma once

#include "coordination/claim_window.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Ways of deciding on a non-idempotent request. The default is the one that the system uses; each other
/// value leaves a part out and is expected to break a promise.
struct claim_design {
    bool asks_witness = true;         ///< Without: a key bound to one instance only.
    bool fences = true;               ///< Without: the witness says "not run" but grants a later claim.
    bool witness_runs = false;        ///< With: the witness runs the request once the primary is silent.
    bool witness_new_identity = true; ///< Without: a restarted witness answers for its earlier start.
    bool refusal_is_kept = true;      ///< Without: the primary forgets that it said "not run".
    bool forgetting_closes = true;    ///< Without: forgotten epochs are served as if they were new.
    bool resends_to_target = false;   ///< With: a broken exchange with the target is tried again.
};

class claim_world {
public:
    explicit claim_world(claim_design design) : m_design(design) {}

    /// @name Actions; each picks what it acts on by `choice`.
    /// @{
    void send_to_primary(unsigned choice) { post({kind::to_primary, key(choice)}); }
    void send_to_witness(unsigned choice) { post({kind::to_witness, key(choice)}); }

    void deliver(unsigned choice) {
        if (auto const taken = take(choice); taken) {
            receive(*taken);
        }
    }

    void lose(unsigned choice) { static_cast<void>(take(choice)); }

    void repeat(unsigned choice) {
        // A connection to a target never repeats a request; any other message may arrive twice.
        if (!m_network.empty() && pick(choice).what != kind::to_target) {
            m_network.push_back(pick(choice));
        }
    }

    void primary_gives_up(unsigned choice) { give_up(key(choice)); }

    void crash_primary(unsigned) { m_primary_alive = false; }

    void crash_witness(unsigned) {
        if (m_design.witness_new_identity) {
            m_witness_alive = false;
        } else {
            m_witness = fresh();
        }
    }

    void let_epoch_pass(unsigned) {
        ++m_epoch;
        if (m_design.forgetting_closes) {
            m_primary.advance(m_epoch);
            m_witness.advance(m_epoch);
        } else if (m_epoch % 3 == 0) {
            m_primary = fresh();
            m_witness = fresh();
        }
    }

    void deliver_in_order(unsigned) {
        if (!m_network.empty()) {
            deliver(0);
        }
    }
    /// @}

    [[nodiscard]] std::string const& broken_promise() const noexcept { return m_broken; }
    /// How many callers were told an outcome of a kind, to show that the fuzzing reaches each.
    [[nodiscard]] std::size_t told(pomelospread::outcome_kind wanted) const {
        auto const found = m_told_counts.find(wanted);
        return found == m_told_counts.end() ? 0 : found->second;
    }

private:
    enum class kind {
        to_primary,
        to_witness,
        claim,
        claim_granted,
        claim_refused,
        outcome,
        to_target,
        from_target
    };

    struct message {
        kind what;
        std::string key;
        pomelospread::outcome_kind outcome = pomelospread::outcome_kind::unknown;
    };

    static constexpr unsigned key_count = 3;

    static pomelospread::claim_window fresh() {
        return pomelospread::claim_window(1, {.max_keys = 4, .kept_epochs = 2, .max_kept_body_bytes = 8});
    }

    static std::string key(unsigned choice) {
        return std::string(1, static_cast<char>('a' + choice % key_count));
    }

    void post(message value) { m_network.push_back(std::move(value)); }

    message const& pick(unsigned choice) const { return m_network[choice % m_network.size()]; }

    std::optional<message> take(unsigned choice) {
        if (m_network.empty()) {
            return std::nullopt;
        }
        auto const at = m_network.begin() + static_cast<std::ptrdiff_t>(choice % m_network.size());
        auto value = std::move(*at);
        m_network.erase(at);
        return value;
    }

    void receive(message const& value) {
        switch (value.what) {
        case kind::to_primary:
            return primary_receives_request(value.key);
        case kind::to_witness:
            return witness_receives_request(value.key);
        case kind::claim:
            return witness_receives_claim(value.key);
        case kind::claim_granted:
            return primary_receives_grant(value.key);
        case kind::claim_refused:
            return give_up(value.key);
        case kind::outcome:
            if (m_witness_alive) {
                m_witness.learn(value.key, epoch_of(value.key), {.kind = value.outcome});
            }
            return;
        case kind::to_target:
            return execute(value.key);
        case kind::from_target:
            return primary_receives_answer(value.key);
        }
    }

    pomelospread::key_epoch epoch_of(std::string const& name) {
        return m_key_epochs.try_emplace(name, m_epoch).first->second;
    }

    void primary_receives_request(std::string const& name) {
        using pomelospread::outcome_kind;
        using pomelospread::primary_step;
        if (!m_primary_alive) {
            return;
        }
        auto const answer = m_primary.begin(name, epoch_of(name));
        switch (answer.step) {
        case primary_step::claim:
            post(m_design.asks_witness ? message{kind::claim, name} : message{kind::claim_granted, name});
            return;
        case primary_step::wait:
            return;
        case primary_step::replay:
            return tell(name, answer.outcome->kind);
        case primary_step::too_old:
        case primary_step::window_full:
            return tell(name, outcome_kind::unknown);
        }
    }

    void primary_receives_grant(std::string const& name) {
        if (m_primary_alive && m_primary.may_dispatch(name)) {
            post({kind::to_target, name});
        }
    }

    void primary_receives_answer(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_primary_alive) {
            return;
        }
        auto const before = m_primary.outcome(name);
        if (before != nullptr && before->kind != outcome_kind::ran) {
            return;
        }
        m_primary.finish(name, {.kind = outcome_kind::ran, .status = 200});
        post({kind::outcome, name, outcome_kind::ran});
        tell(name, outcome_kind::ran);
    }

    void give_up(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_primary_alive || !m_key_epochs.contains(name)) {
            return;
        }
        auto const outcome = m_primary.refuse(name, epoch_of(name));
        if (outcome.kind == outcome_kind::unknown) {
            // Dispatched: the exchange with the target broke.
            if (m_design.resends_to_target && m_resent.emplace(name, true).second) {
                post({kind::to_target, name});
                return;
            }
            m_primary.finish(name, {.kind = outcome_kind::unknown});
        }
        if (!m_design.refusal_is_kept && outcome.kind == outcome_kind::not_run) {
            m_primary = fresh();
        }
        post({kind::outcome, name, outcome.kind});
        tell(name, outcome.kind);
    }

    void witness_receives_claim(std::string const& name) {
        if (!m_witness_alive) {
            return;
        }
        bool const granted = m_witness.grant(name, epoch_of(name)) == pomelospread::claim_reply::granted;
        post({granted ? kind::claim_granted : kind::claim_refused, name});
    }

    void witness_receives_request(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_witness_alive) {
            return;
        }
        if (m_design.witness_runs) {
            post({kind::to_target, name});
            return;
        }
        if (!m_design.fences) {
            auto probe = m_witness;
            tell(name, probe.resolve(name, epoch_of(name)).kind);
            return;
        }
        tell(name, m_witness.resolve(name, epoch_of(name)).kind);
    }

    void execute(std::string const& name) {
        if (++m_executions[name] > 1) {
            m_broken = "a request ran twice";
        }
        if (m_told_not_run[name]) {
            m_broken = "a request ran after its caller was told that it did not";
        }
        post({kind::from_target, name});
    }

    void tell(std::string const& name, pomelospread::outcome_kind outcome) {
        using pomelospread::outcome_kind;
        ++m_told_counts[outcome];
        if (outcome == outcome_kind::not_run) {
            m_told_not_run[name] = true;
            if (m_executions[name] > 0) {
                m_broken = "a caller was told \"not run\" of a request that had run";
            }
        }
        if (outcome == outcome_kind::ran && m_executions[name] == 0) {
            m_broken = "a caller was told \"ran\" of a request that had not run";
        }
    }

    claim_design m_design;
    pomelospread::claim_window m_primary = fresh();
    pomelospread::claim_window m_witness = fresh();
    bool m_primary_alive = true;
    bool m_witness_alive = true;
    pomelospread::key_epoch m_epoch = 10;
    std::map<std::string, pomelospread::key_epoch> m_key_epochs;
    std::map<std::string, bool> m_resent;
    std::vector<message> m_network;
    std::map<std::string, int> m_executions;
    std::map<std::string, bool> m_told_not_run;
    std::map<pomelospread::outcome_kind, std::size_t> m_told_counts;
    std::string m_broken;
};
