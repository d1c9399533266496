// The messages in which instances tell each other the division of the fleet's rates, encoded with cereal.
#pragma once

#include "coordination/rate_division.hpp"

#include <string>
#include <string_view>

namespace pomelospread {

[[nodiscard]] std::string encode_rate_division_state(rate_division_state const& state);
/// Throws `malformed_message` when the bytes are not exactly one message, or an address or age is out of
/// range.
[[nodiscard]] rate_division_state decode_rate_division_state(std::string_view bytes);

} // namespace pomelospread
