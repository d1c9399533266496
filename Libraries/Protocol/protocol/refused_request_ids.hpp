// The requests that were refused on a connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The ids of the requests that were refused on one connection. A second copy of such a refusal may arrive
/// late and could not be told from the refusal of another attempt with the same id. Belongs to one thread.
class refused_request_ids {
public:
    /// 512 bytes for a connection; one new connection in so many refusals costs little.
    static constexpr std::size_t max_count = 64;

    void add(std::string_view request_id);
    [[nodiscard]] bool contains(std::string_view request_id) const;
    /// When full, the connection is to be closed.
    [[nodiscard]] bool is_full() const noexcept { return m_hashes.size() >= max_count; }

private:
    std::vector<std::uint64_t> m_hashes;
};

} // namespace pomelospread
