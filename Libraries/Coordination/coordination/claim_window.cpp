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

primary_decision claim_window::begin_request(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    if (auto const found = m_primary.find(name); found != m_primary.end()) {
        bool const decided = found->second.state == primary_state::decided;
        return {.action = decided ? primary_action::replay : primary_action::wait,
                .outcome = decided ? &found->second.outcome : nullptr};
    }
    if (epoch < m_oldest_epoch) {
        return {.action = primary_action::epoch_expired};
    }
    if (!make_room(epoch)) {
        return {.action = primary_action::window_full};
    }
    m_primary.emplace(name, primary_record{});
    m_keys_by_epoch[epoch].primary.push_back(name);
    return {.action = primary_action::claim};
}

bool claim_window::try_mark_dispatched(std::string_view key) {
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
        // The key was evicted or no request with it began. Without a record, the refusal would not be final.
        if (epoch < m_oldest_epoch || !make_room(epoch)) {
            return {.kind = outcome_kind::unknown};
        }
        found = m_primary.emplace(name, primary_record{}).first;
        m_keys_by_epoch[epoch].primary.push_back(name);
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

void claim_window::finish_dispatch(std::string_view key, request_outcome outcome) {
    auto const found = m_primary.find(std::string(key));
    if (found == m_primary.end() || found->second.state == primary_state::decided) {
        return;
    }
    found->second.state = primary_state::decided;
    found->second.outcome = without_large_body(std::move(outcome));
}

request_outcome const* claim_window::outcome(std::string_view key) const {
    auto const found = m_primary.find(std::string(key));
    if (found == m_primary.end() || found->second.state != primary_state::decided) {
        return nullptr;
    }
    return &found->second.outcome;
}

claim_reply claim_window::decide_claim(std::string_view key, key_epoch epoch) {
    auto const name = std::string(key);
    if (auto const found = m_witness.find(name); found != m_witness.end()) {
        // A duplicate claim message is granted again; the primary dispatches only once in any case.
        return found->second.state == witness_state::claimed ? claim_reply::granted : claim_reply::refused;
    }
    if (epoch < m_oldest_epoch || !make_room(epoch)) {
        return claim_reply::refused;
    }
    m_witness.emplace(name, witness_record{});
    m_keys_by_epoch[epoch].witness.push_back(name);
    return claim_reply::granted;
}

void claim_window::record_outcome(std::string_view key, key_epoch epoch, request_outcome outcome) {
    auto const name = std::string(key);
    auto found = m_witness.find(name);
    if (found == m_witness.end()) {
        if (epoch < m_oldest_epoch || !make_room(epoch)) {
            return;
        }
        found = m_witness.emplace(name, witness_record{}).first;
        m_keys_by_epoch[epoch].witness.push_back(name);
    }
    if (found->second.state != witness_state::claimed) {
        return;
    }
    found->second.state = witness_state::decided;
    found->second.outcome = without_large_body(std::move(outcome));
}

request_outcome claim_window::resolve_outcome(std::string_view key, key_epoch epoch) {
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
    if (epoch < m_oldest_epoch || !make_room(epoch)) {
        return {.kind = outcome_kind::unknown};
    }
    m_witness.emplace(name, witness_record{.state = witness_state::fenced, .outcome = {}});
    m_keys_by_epoch[epoch].witness.push_back(name);
    return {.kind = outcome_kind::not_run};
}

void claim_window::advance_epoch(key_epoch now) {
    if (now > m_limits.retained_epochs) {
        evict_before(now - m_limits.retained_epochs);
    }
}

bool claim_window::make_room(key_epoch epoch) {
    // Evicts the oldest epochs first. Their keys get the outcome "unknown" afterwards, which is always
    // correct.
    while (size() >= m_limits.max_keys && !m_keys_by_epoch.empty() &&
           m_keys_by_epoch.begin()->first < epoch) {
        evict_before(m_keys_by_epoch.begin()->first + 1);
    }
    return size() < m_limits.max_keys && epoch >= m_oldest_epoch;
}

void claim_window::evict_before(key_epoch oldest) {
    m_oldest_epoch = std::max(m_oldest_epoch, oldest);
    while (!m_keys_by_epoch.empty() && m_keys_by_epoch.begin()->first < m_oldest_epoch) {
        for (auto const& name : m_keys_by_epoch.begin()->second.primary) {
            m_primary.erase(name);
        }
        for (auto const& name : m_keys_by_epoch.begin()->second.witness) {
            m_witness.erase(name);
        }
        m_keys_by_epoch.erase(m_keys_by_epoch.begin());
    }
}

request_outcome claim_window::without_large_body(request_outcome outcome) const {
    outcome.response_retained =
        outcome.kind == outcome_kind::ran && outcome.body.size() <= m_limits.max_retained_body_bytes;
    if (!outcome.response_retained) {
        outcome.body.clear();
        outcome.body.shrink_to_fit();
    }
    return outcome;
}

} // namespace pomelospread
