#include "gateway/recent_object_store.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"

#include <boost/fiber/operations.hpp>

namespace pomelospread {

using clock = std::chrono::steady_clock;

void recent_object_store::put(std::string_view name, std::string_view content) {
    m_platform.put(name, content);
    m_objects.push_back(std::make_shared<stored_object>(stored_object{
        .name = std::string(name), .content = std::string(content), .stored_at = clock::now()}));
    m_bytes += name.size() + content.size();
    drop_old_objects();
}

void recent_object_store::drop_old_objects() {
    auto const earliest = clock::now() - m_limits.window;
    while (!m_objects.empty() && (m_objects.front()->stored_at < earliest || m_bytes > m_limits.max_bytes)) {
        m_bytes -= m_objects.front()->name.size() + m_objects.front()->content.size();
        m_objects.pop_front();
    }
}

void recent_object_store::store_again() {
    auto const round = ++m_requested_rounds;
    drop_old_objects();
    auto const objects = m_objects;
    std::int64_t stored = 0;
    std::int64_t not_stored = 0;
    auto const give_up_at = clock::now() + m_limits.window;
    for (auto const& object : objects) {
        while (round == m_requested_rounds) {
            if (store_one_again(*object)) {
                ++stored;
                break;
            }
            if (clock::now() > give_up_at) {
                ++not_stored;
                break;
            }
            boost::this_fiber::sleep_for(m_limits.retry_delay);
        }
    }
    log_line(log_level::info, "objects_stored_again")
        .field("stored", stored)
        .field("not_stored", not_stored)
        .field("is_complete", round == m_requested_rounds ? "yes" : "no")
        .write();
}

bool recent_object_store::store_one_again(stored_object& object) {
    try {
        m_platform.put(object.name, object.content);
        object.stored_at = clock::now();
        return true;
    } catch (error const& failure) {
        log_line(log_level::warning, "segment_not_stored").field("reason", failure.what()).write();
        return false;
    }
}

} // namespace pomelospread
