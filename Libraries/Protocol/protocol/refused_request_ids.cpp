#include "protocol/refused_request_ids.hpp"

#include <xxhash.h>

#include <algorithm>

namespace pomelospread {

void refused_request_ids::add(std::string_view request_id) {
    m_hashes.push_back(XXH3_64bits(request_id.data(), request_id.size()));
}

bool refused_request_ids::contains(std::string_view request_id) const {
    return std::ranges::find(m_hashes, XXH3_64bits(request_id.data(), request_id.size())) != m_hashes.end();
}

} // namespace pomelospread
