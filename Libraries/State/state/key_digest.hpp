// Digests of the keys by which callers identify their workspace. Only digests are kept, so that no log,
// metric, error or peer ever holds a key.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace pomelospread {

using key_digest = std::array<std::uint8_t, 16>;

/// The BLAKE2b digest of a key. Keys have enough entropy to need no salt. Thread-safe.
[[nodiscard]] key_digest digest_of_key(std::string_view key);

} // namespace pomelospread
