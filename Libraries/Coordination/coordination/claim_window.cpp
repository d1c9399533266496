#include "coordination/claim_window.hpp"

#include <algorithm>
#include <utility>

namespace pomelospread {

std::string_view to_string(outcome_kind kind) noexcept {
    switch (kind) {
    case outcome_kind::ran:
        return "ran";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::unknown:
        return "unknown";
    }
    return "unknown";
}

claim_window::claim_window(instance_id self, claim_window_limits limits) : m_self(self), m_limits(limits) {}

primary_answer claim_window::begin(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    if (auto const found = m_primary.find(name); found != m_primary.end()) {
        bool const decided = found->second.state == primary_state::decided;
        return {.step = decided ? primary_step::replay : primary_step::wait,
                .outcome = decided ? &found->second.outcome : nullptr};
    }
    if (epoch < m_oldest) {
        return {.step = primary_step::too_old};
    }
    if (!has_room(epoch)) {
        return {.step = primary_step::window_full};
    }
    m_primary.emplace(name, primary_key{});
    m_epochs[epoch].primary.push_back(name);
    return {.step = primary_step::claim};
}

bool claim_window::may_dispatch(std::string_view key) {
    auto const found = m_primary.find(std::string(key));
    if (found == m_primary.end() || found->second.state != primary_state::claiming) {
        return false;
    }
    found->second.state = primary_state::dispatched;
    return true;
}

request_outcome claim_window::refuse(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    auto found = m_primary.find(name);
    if (found == m_primary.end()) {
        // The key was forgotten or never begun. Without a record the refusal would not be final.
        if (epoch < m_oldest || !has_room(epoch)) {
            return {.kind = outcome_kind::unknown};
        }
        found = m_primary.emplace(name, primary_key{}).first;
        m_epochs[epoch].primary.push_back(name);
    }
    if (found->second.state == primary_state::dispatched) {
        return {.kind = outcome_kind::unknown};
    }
    if (found->second.state == primary_state::claiming) {
        found->second.state = primary_state::decided;
        found->second.outcome = {.kind = outcome_kind::not_run};
    }
    return found->second.outcome;
}

void claim_window::finish(std::string_view key, request_outcome outcome) {
    auto const found = m_primary.find(std::string(key));
    if (found == m_primary.end() || found->second.state == primary_state::decided) {
        return;
    }
    found->second.state = primary_state::decided;
    found->second.outcome = trimmed(std::move(outcome));
}

request_outcome const* claim_window::outcome(std::string_view key) const {
    auto const found = m_primary.find(std::string(key));
    if (found == m_primary.end() || found->second.state != primary_state::decided) {
        return nullptr;
    }
    return &found->second.outcome;
}

claim_reply claim_window::grant(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    if (auto const found = m_witness.find(name); found != m_witness.end()) {
        // A repeated claim message is granted again; the primary dispatches once all the same.
        return found->second.state == witness_state::claimed ? claim_reply::granted : claim_reply::refused;
    }
    if (epoch < m_oldest || !has_room(epoch)) {
        return claim_reply::refused;
    }
    m_witness.emplace(name, witness_key{});
    m_epochs[epoch].witness.push_back(name);
    return claim_reply::granted;
}

void claim_window::learn(std::string_view key, key_epoch epoch, request_outcome outcome) {
    auto const name = std::string(key);
    auto found = m_witness.find(name);
    if (found == m_witness.end()) {
        if (epoch < m_oldest || !has_room(epoch)) {
            return;
        }
        found = m_witness.emplace(name, witness_key{}).first;
        m_epochs[epoch].witness.push_back(name);
    }
    if (found->second.state != witness_state::claimed) {
        return;
    }
    found->second.state = witness_state::decided;
    found->second.outcome = trimmed(std::move(outcome));
}

request_outcome claim_window::resolve(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    if (auto const found = m_witness.find(name); found != m_witness.end()) {
        switch (found->second.state) {
        case witness_state::claimed:
            return {.kind = outcome_kind::unknown};
        case witness_state::fenced:
            return {.kind = outcome_kind::not_run};
        case witness_state::decided:
            return found->second.outcome;
        }
    }
    if (epoch < m_oldest || !has_room(epoch)) {
        return {.kind = outcome_kind::unknown};
    }
    m_witness.emplace(name, witness_key{.state = witness_state::fenced, .outcome = {}});
    m_epochs[epoch].witness.push_back(name);
    return {.kind = outcome_kind::not_run};
}

void claim_window::advance(key_epoch now) {
    if (now > m_limits.kept_epochs) {
        forget_before(now - m_limits.kept_epochs);
    }
}

bool claim_window::has_room(key_epoch epoch) {
    // Old epochs give way first: their keys are answered "unknown" from then on, which is always true.
    while (size() >= m_limits.max_keys && !m_epochs.empty() && m_epochs.begin()->first < epoch) {
        forget_before(m_epochs.begin()->first + 1);
    }
    return size() < m_limits.max_keys && epoch >= m_oldest;
}

void claim_window::forget_before(key_epoch oldest) {
    m_oldest = std::max(m_oldest, oldest);
    while (!m_epochs.empty() && m_epochs.begin()->first < m_oldest) {
        for (auto const& name : m_epochs.begin()->second.primary) {
            m_primary.erase(name);
        }
        for (auto const& name : m_epochs.begin()->second.witness) {
            m_witness.erase(name);
        }
        m_epochs.erase(m_epochs.begin());
    }
}

request_outcome claim_window::trimmed(request_outcome outcome) const {
    outcome.answer_kept =
        outcome.kind == outcome_kind::ran && outcome.body.size() <= m_limits.max_kept_body_bytes;
    if (!outcome.answer_kept) {
        outcome.body.clear();
        outcome.body.shrink_to_fit();
    }
    return outcome;
}

} // namespace pomelospread
