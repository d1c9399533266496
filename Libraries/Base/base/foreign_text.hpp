// Texts that another party wrote: what they may contain, and how they appear in messages and log lines.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace pomelospread {

/// Bytes of an excerpt without its ellipsis. A longer text does not help to find its writer.
constexpr std::size_t max_excerpt_bytes = 120;

/// Returns the text, cut off between characters when it is longer than `max_excerpt_bytes`, with `?` for each
/// control character.
[[nodiscard]] std::string excerpt(std::string_view text);

/// Whether the text contains an ASCII control character, which neither a header field nor a log line can
/// hold.
[[nodiscard]] bool has_control_character(std::string_view text) noexcept;

} // namespace pomelospread
