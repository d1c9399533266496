// Keys of non-idempotent requests. A prefixed key names the two instances that decide on the request.
#pragma once

#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

/// When the prefix of a key was generated, in units of `key_epoch_duration` since the Unix epoch.
using key_epoch = std::uint32_t;

constexpr std::chrono::seconds key_epoch_duration{10};

/// The epoch that contains `now`.
[[nodiscard]] key_epoch key_epoch_at(std::chrono::system_clock::time_point now) noexcept;

/// The part of a key that a caller receives with the addresses of a pool.
struct key_prefix {
    instance_id primary = 0; ///< The only instance that may dispatch the request.
    instance_id witness = 0; ///< Grants the claim; 0 when the fleet has one instance.
    key_epoch epoch = 0;

    bool operator==(key_prefix const&) const = default;
};

/// Formats the prefix as `k1-<primary>-<witness>-<epoch>` in fixed-width hexadecimal.
[[nodiscard]] std::string to_string(key_prefix const& prefix);

/// Maximum length of the part that a caller appends to a prefix, in characters.
constexpr std::size_t max_key_suffix_characters = 64;
/// Maximum length of an unprefixed key, which the caller chooses, in characters.
constexpr std::size_t max_unprefixed_key_characters = 128;

/// Whether the key starts like a prefixed key; any other text is an unprefixed key.
[[nodiscard]] bool is_prefixed_key(std::string_view key) noexcept;

/// Parses the prefix of a prefixed key `k1-...-<suffix>`.
/// Throws `invalid_input` naming `Idempotency-Key` for a malformed key.
[[nodiscard]] key_prefix parse_key_prefix(std::string_view key);

} // namespace pomelospread
