#include "state/workspace_index.hpp"

#include <sodium.h>

#include <algorithm>

namespace pomelospread {

workspace_index::workspace_index(std::span<workspace_row const> workspaces) : m_workspaces(workspaces) {
    std::size_t count = 0;
    for (auto const& workspace : workspaces) {
        count += workspace.key_digests.size();
    }
    m_keys.reserve(count);
    for (std::uint32_t i = 0; i < workspaces.size(); ++i) {
        for (auto const& digest : workspaces[i].key_digests) {
            m_keys.push_back({.digest = digest, .workspace = i});
        }
    }
    std::ranges::stable_sort(m_keys, {}, &entry::digest);
}

workspace_row const* workspace_index::find(std::string_view key) const {
    auto const digest = digest_of_key(key);
    auto const found = std::ranges::lower_bound(m_keys, digest, {}, &entry::digest);
    bool const is_known =
        found != m_keys.end() && sodium_memcmp(found->digest.data(), digest.data(), digest.size()) == 0;
    return is_known ? &m_workspaces[found->workspace] : nullptr;
}

} // namespace pomelospread
