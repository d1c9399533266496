#include "entry/shared_state.hpp"

namespace pomelospread {

bool customer_concurrency_limiter::try_acquire(std::string const& key, std::int64_t limit) {
    std::lock_guard const lock(m_mutex);
    auto& count = m_in_progress[key];
    if (count >= limit) {
        return false;
    }
    ++count;
    return true;
}

void customer_concurrency_limiter::release(std::string const& key) {
    std::lock_guard const lock(m_mutex);
    auto const found = m_in_progress.find(key);
    if (--found->second == 0) {
        m_in_progress.erase(found);
    }
}

} // namespace pomelospread
