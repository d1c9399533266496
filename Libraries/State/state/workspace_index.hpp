// Finds the workspace of a key.
#pragma once

#include "state/routing_tables.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The keys of all workspaces, sorted by digest. Immutable, so thread-safe; refers to the rows it was built
/// of.
class workspace_index {
public:
    workspace_index() = default;
    explicit workspace_index(std::span<workspace_row const> workspaces);

    /// The workspace that holds the key, or nullptr. Of a key that several hold, the first one in order.
    /// Which digests are compared tells nothing about a key, since an attacker cannot choose a digest.
    [[nodiscard]] workspace_row const* find(std::string_view key) const;
    [[nodiscard]] std::size_t key_count() const noexcept { return m_keys.size(); }

private:
    struct entry {
        key_digest digest{};
        std::uint32_t workspace = 0; ///< Index in `m_workspaces`.
    };

    std::span<workspace_row const> m_workspaces;
    std::vector<entry> m_keys;
};

} // namespace pomelospread
