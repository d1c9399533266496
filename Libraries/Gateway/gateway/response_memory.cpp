#include "gateway/response_memory.hpp"

#include <algorithm>

namespace pomelospread {

bool response_memory::share::grow_to(std::size_t body_bytes) {
    auto const wanted = body_bytes - std::min(body_bytes, m_memory.m_limits.free_body_bytes);
    if (wanted <= m_bytes) {
        return true;
    }
    auto const added = wanted - m_bytes;
    if (added > m_memory.m_limits.max_shared_bytes - m_memory.m_shared_bytes) {
        return false;
    }
    m_memory.m_shared_bytes += added;
    m_bytes = wanted;
    return true;
}

} // namespace pomelospread
