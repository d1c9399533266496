// Keys of non-idempotent requests: each names the two instances that decide on it.
#pragma once

#include "coordination/platform.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace pomelospread {

/// Coarse time of a key's minting, in units of `key_epoch_duration` since the Unix epoch.
using key_epoch = std::uint32_t;

constexpr std::chrono::seconds key_epoch_duration{10};

/// The epoch in which `now` falls.
[[nodiscard]] key_epoch key_epoch_at(std::chrono::system_clock::time_point now) noexcept;

/// The part of a key that an address answer hands to a caller.
struct key_prefix {
    instance_id primary = 0; ///< The only instance that may dispatch the request.
    instance_id witness = 0; ///< Grants the claim; 0 when the fleet has one instance.
    key_epoch epoch = 0;

    bool operator==(key_prefix const&) const = default;
};

/// Renders `k1-<primary>-<witness>-<epoch>` in fixed-width hexadecimal.
[[nodiscard]] std::string to_string(key_prefix const& prefix);

/// Longest part that a caller may add to a prefix, in characters.
constexpr std::size_t max_key_suffix_characters = 64;
/// Longest plain key of a caller's own, in characters.
constexpr std::size_t max_unprefixed_key_characters = 128;

/// True when the text has the form of a minted key; any other text is a caller's plain key.
[[nodiscard]] bool is_prefixed_key(std::string_view key) noexcept;

/// Reads the prefix of a minted key `k1-...-<suffix>`.
/// Throws `invalid_input` naming `Idempotency-Key` for a malformed key.
[[nodiscard]] key_prefix parse_key_prefix(std::string_view key);

} // namespace pomelospread
