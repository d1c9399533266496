// Simulates two instances, callers, a target and a network in which messages may be delayed, lost or
// duplicated. The oracle counts executions and records the outcomes that callers received.
#pragma once

#include "coordination/claim_window.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Variants of the protocol that decides on a non-idempotent request. The default is the protocol in use;
/// each other value omits a part of it or adds an error to it, and is expected to violate an invariant.
struct claim_protocol_variant {
    bool requires_grant = true;           ///< False: the primary dispatches without the witness.
    bool fences_unclaimed_keys = true;    ///< False: the witness reports "not run" but grants a later claim.
    bool witness_dispatches = false;      ///< True: the witness dispatches a request that it receives.
    bool witness_new_identity = true;     ///< False: a restarted witness keeps its id but loses its records.
    bool retains_refusals = true;         ///< False: the primary loses the record that it reported "not run".
    bool rejects_evicted_epochs = true;   ///< False: keys of evicted epochs are accepted as if they were new.
    bool retries_broken_exchange = false; ///< True: a request is sent again after a broken exchange.
};

class claim_simulation {
public:
    explicit claim_simulation(claim_protocol_variant variant) : m_variant(variant) {}

    /// @name Actions; `choice` selects the key or the message.
    /// @{
    void send_to_primary(unsigned choice) { send({message_kind::to_primary, key(choice)}); }
    void send_to_witness(unsigned choice) { send({message_kind::to_witness, key(choice)}); }

    void deliver_any(unsigned choice) {
        if (auto const message_taken = take_message(choice); message_taken) {
            receive(*message_taken);
        }
    }

    void drop_message(unsigned choice) { static_cast<void>(take_message(choice)); }

    void duplicate_message(unsigned choice) {
        // A connection to a target never duplicates a request; any other message may arrive twice.
        if (!m_network.empty() && message_at(choice).kind != message_kind::to_target) {
            m_network.push_back(message_at(choice));
        }
    }

    void abandon_at_primary(unsigned choice) { abandon_request(key(choice)); }

    void crash_primary(unsigned) { m_primary_alive = false; }

    void crash_witness(unsigned) {
        if (m_variant.witness_new_identity) {
            m_witness_alive = false;
        } else {
            m_witness = make_window();
        }
    }

    void advance_epoch(unsigned) {
        ++m_epoch;
        if (m_variant.rejects_evicted_epochs) {
            m_primary.advance_epoch(m_epoch);
            m_witness.advance_epoch(m_epoch);
        } else if (m_epoch % 3 == 0) {
            m_primary = make_window();
            m_witness = make_window();
        }
    }

    void deliver_in_order(unsigned) {
        if (!m_network.empty()) {
            deliver_any(0);
        }
    }
    /// @}

    [[nodiscard]] std::string const& violated_invariant() const noexcept { return m_violation; }
    /// How often an outcome was reported to callers; shows that the fuzzing reaches every outcome.
    [[nodiscard]] std::size_t reported_count(pomelospread::outcome_kind wanted) const {
        auto const found = m_reported_counts.find(wanted);
        return found == m_reported_counts.end() ? 0 : found->second;
    }

private:
    enum class message_kind {
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
        message_kind kind;
        std::string key;
        pomelospread::outcome_kind outcome = pomelospread::outcome_kind::unknown;
    };

    static constexpr unsigned key_count = 3;

    static pomelospread::claim_window make_window() {
        return pomelospread::claim_window(
            1, {.max_keys = 4, .retained_epochs = 2, .max_retained_body_bytes = 8});
    }

    static std::string key(unsigned choice) {
        return std::string(1, static_cast<char>('a' + choice % key_count));
    }

    void send(message value) { m_network.push_back(std::move(value)); }

    message const& message_at(unsigned choice) const { return m_network[choice % m_network.size()]; }

    std::optional<message> take_message(unsigned choice) {
        if (m_network.empty()) {
            return std::nullopt;
        }
        auto const position = m_network.begin() + static_cast<std::ptrdiff_t>(choice % m_network.size());
        auto value = std::move(*position);
        m_network.erase(position);
        return value;
    }

    void receive(message const& value) {
        switch (value.kind) {
        case message_kind::to_primary:
            return primary_receives_request(value.key);
        case message_kind::to_witness:
            return witness_receives_request(value.key);
        case message_kind::claim:
            return witness_receives_claim(value.key);
        case message_kind::claim_granted:
            return primary_receives_grant(value.key);
        case message_kind::claim_refused:
            return abandon_request(value.key);
        case message_kind::outcome:
            if (m_witness_alive) {
                m_witness.record_outcome(value.key, epoch_of(value.key), {.kind = value.outcome});
            }
            return;
        case message_kind::to_target:
            return execute(value.key);
        case message_kind::from_target:
            return primary_receives_response(value.key);
        }
    }

    pomelospread::key_epoch epoch_of(std::string const& name) {
        return m_key_epochs.try_emplace(name, m_epoch).first->second;
    }

    void primary_receives_request(std::string const& name) {
        using pomelospread::outcome_kind;
        using pomelospread::primary_action;
        if (!m_primary_alive) {
            return;
        }
        auto const decision = m_primary.begin_request(name, epoch_of(name));
        switch (decision.action) {
        case primary_action::claim:
            send(m_variant.requires_grant ? message{message_kind::claim, name}
                                          : message{message_kind::claim_granted, name});
            return;
        case primary_action::wait:
            return;
        case primary_action::replay:
            return report_to_caller(name, decision.outcome->kind);
        case primary_action::epoch_expired:
        case primary_action::window_full:
            return report_to_caller(name, outcome_kind::unknown);
        }
    }

    void primary_receives_grant(std::string const& name) {
        if (m_primary_alive && m_primary.try_mark_dispatched(name)) {
            send({message_kind::to_target, name});
        }
    }

    void primary_receives_response(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_primary_alive) {
            return;
        }
        auto const before = m_primary.outcome(name);
        if (before != nullptr && before->kind != outcome_kind::ran) {
            return;
        }
        m_primary.finish_dispatch(name, {.kind = outcome_kind::ran, .status = 200});
        send({message_kind::outcome, name, outcome_kind::ran});
        report_to_caller(name, outcome_kind::ran);
    }

    void abandon_request(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_primary_alive || !m_key_epochs.contains(name)) {
            return;
        }
        auto const outcome = m_primary.refuse(name, epoch_of(name));
        if (outcome.kind == outcome_kind::unknown) {
            // The request had been dispatched: the exchange with the target broke.
            if (m_variant.retries_broken_exchange && m_resent.emplace(name, true).second) {
                send({message_kind::to_target, name});
                return;
            }
            m_primary.finish_dispatch(name, {.kind = outcome_kind::unknown});
        }
        if (!m_variant.retains_refusals && outcome.kind == outcome_kind::not_run) {
            m_primary = make_window();
        }
        send({message_kind::outcome, name, outcome.kind});
        report_to_caller(name, outcome.kind);
    }

    void witness_receives_claim(std::string const& name) {
        if (!m_witness_alive) {
            return;
        }
        bool const granted =
            m_witness.decide_claim(name, epoch_of(name)) == pomelospread::claim_reply::granted;
        send({granted ? message_kind::claim_granted : message_kind::claim_refused, name});
    }

    void witness_receives_request(std::string const& name) {
        using pomelospread::outcome_kind;
        if (!m_witness_alive) {
            return;
        }
        if (m_variant.witness_dispatches) {
            send({message_kind::to_target, name});
            return;
        }
        if (!m_variant.fences_unclaimed_keys) {
            auto unfenced_copy = m_witness;
            report_to_caller(name, unfenced_copy.resolve_outcome(name, epoch_of(name)).kind);
            return;
        }
        report_to_caller(name, m_witness.resolve_outcome(name, epoch_of(name)).kind);
    }

    void execute(std::string const& name) {
        if (++m_executions[name] > 1) {
            m_violation = "a request ran twice";
        }
        if (m_reported_not_run[name]) {
            m_violation = "a request ran after its caller received the outcome \"not run\"";
        }
        send({message_kind::from_target, name});
    }

    void report_to_caller(std::string const& name, pomelospread::outcome_kind outcome) {
        using pomelospread::outcome_kind;
        ++m_reported_counts[outcome];
        if (outcome == outcome_kind::not_run) {
            m_reported_not_run[name] = true;
            if (m_executions[name] > 0) {
                m_violation = "a caller received the outcome \"not run\" for a request that had run";
            }
        }
        if (outcome == outcome_kind::ran && m_executions[name] == 0) {
            m_violation = "a caller received the outcome \"ran\" for a request that had not run";
        }
    }

    claim_protocol_variant m_variant;
    pomelospread::claim_window m_primary = make_window();
    pomelospread::claim_window m_witness = make_window();
    bool m_primary_alive = true;
    bool m_witness_alive = true;
    pomelospread::key_epoch m_epoch = 10;
    std::map<std::string, pomelospread::key_epoch> m_key_epochs;
    std::map<std::string, bool> m_resent;
    std::vector<message> m_network;
    std::map<std::string, int> m_executions;
    std::map<std::string, bool> m_reported_not_run;
    std::map<pomelospread::outcome_kind, std::size_t> m_reported_counts;
    std::string m_violation;
};
