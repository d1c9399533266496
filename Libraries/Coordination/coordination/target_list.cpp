#include "coordination/target_list.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pomelospread {

std::uint64_t digest_of(std::vector<listed_target> const& targets) {
    std::string text;
    for (auto const& target : targets) {
        // The rest of a warm-up shrinks with each reading; it is not news.
        text += target.id + '\n' + target.pool + '\n' + to_string(target.address) + '\n' + target.zone +
                '\n' + std::to_string(target.slots) + (target.leaving ? "L" : "R") +
                std::to_string(target.born_unix_ms) + '\n';
    }
    return XXH3_64bits(text.data(), text.size());
}

bool target_list::apply_reading(target_reading reading, time_point read_at) {
    if (reading.version < m_reading.version) {
        return false;
    }
    bool const was_blind = is_known() && read_at - m_read_at > m_limits.blind_after;
    if (m_in_outage || was_blind) {
        m_outage_end = read_at;
    }
    m_in_outage = false;
    if (m_outage_end != time_point{} && read_at - m_outage_end < m_limits.return_time) {
        for (auto const& known : m_reading.targets) {
            auto const listed = std::ranges::lower_bound(reading.targets, known.id, {}, &listed_target::id);
            if (listed == reading.targets.end() || listed->id != known.id) {
                reading.targets.insert(listed, known);
            }
        }
    }
    return replace(std::move(reading), read_at);
}

bool target_list::apply_shared(target_reading reading, time_point read_at) {
    if (reading.version < m_reading.version) {
        return false;
    }
    return replace(std::move(reading), read_at);
}

bool target_list::replace(target_reading reading, time_point read_at) {
    m_read_at = std::max(m_read_at, read_at);
    m_reading = std::move(reading);
    auto const digest = digest_of(m_reading.targets);
    bool const changed = digest != m_digest;
    m_digest = digest;
    return changed;
}

void target_list::note_failure(time_point now) {
    if (now - m_read_at > m_limits.blind_after / 2) {
        m_in_outage = true;
    }
}

void target_list::confirm(std::uint64_t version, std::uint64_t digest, time_point read_at) {
    if (digest != m_digest || version < m_reading.version) {
        return;
    }
    m_reading.version = version;
    m_read_at = std::max(m_read_at, read_at);
}

} // namespace pomelospread
