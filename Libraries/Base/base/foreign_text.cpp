#include "base/foreign_text.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

bool is_control_character(char c) noexcept {
    auto const byte = static_cast<unsigned char>(c);
    return byte < 0x20 || byte == 0x7f;
}

bool is_utf8_continuation(char c) noexcept {
    return (static_cast<unsigned char>(c) & 0xC0U) == 0x80U;
}

} // namespace

std::string excerpt(std::string_view text) {
    auto length = std::min(text.size(), max_excerpt_bytes);
    while (length < text.size() && length > 0 && is_utf8_continuation(text[length])) {
        --length;
    }
    std::string result(text.substr(0, length));
    std::ranges::replace_if(result, is_control_character, '?');
    return length < text.size() ? result + "..." : result;
}

bool has_control_character(std::string_view text) noexcept {
    return std::ranges::any_of(text, is_control_character);
}

} // namespace pomelospread
