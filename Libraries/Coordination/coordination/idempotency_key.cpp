#include "coordination/idempotency_key.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

namespace pomelospread {

namespace {

constexpr std::string_view key_version_tag = "k1-";
constexpr std::size_t id_digits = 16;
constexpr std::size_t epoch_digits = 8;
constexpr std::size_t prefix_characters =
    key_version_tag.size() + id_digits + 1 + id_digits + 1 + epoch_digits;

[[noreturn]] void throw_malformed(std::string_view key) {
    throw invalid_input(
        {{.field = "Idempotency-Key",
          .problem = "\"" + std::string(key) + "\" is not a key",
          .allowed = "a key prefix, '-', and 1 to 64 characters of A-Z, a-z, 0-9, '-' and '_'"}});
}

template<class Number>
bool parse_hexadecimal(std::string_view digits, Number& value) noexcept {
    auto const result = std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return result.ec == std::errc() && result.ptr == digits.data() + digits.size();
}

bool is_suffix_character(char c) noexcept {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

} // namespace

key_epoch key_epoch_at(std::chrono::system_clock::time_point now) noexcept {
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch());
    return static_cast<key_epoch>(seconds / key_epoch_duration);
}

std::string to_string(key_prefix const& prefix) {
    std::array<char, prefix_characters + 1> text{};
    std::snprintf(text.data(), text.size(), "k1-%016llx-%016llx-%08x",
                  static_cast<unsigned long long>(prefix.primary),
                  static_cast<unsigned long long>(prefix.witness), prefix.epoch);
    return text.data();
}

bool is_prefixed_key(std::string_view key) noexcept {
    return key.starts_with(key_version_tag);
}

key_prefix parse_key_prefix(std::string_view key) {
    if (!is_prefixed_key(key) || key.size() < prefix_characters + 2 || key[prefix_characters] != '-') {
        throw_malformed(key);
    }
    auto const suffix = key.substr(prefix_characters + 1);
    if (suffix.size() > max_key_suffix_characters || !std::ranges::all_of(suffix, is_suffix_character)) {
        throw_malformed(key);
    }
    constexpr auto witness_offset = key_version_tag.size() + id_digits + 1;
    constexpr auto epoch_offset = witness_offset + id_digits + 1;
    key_prefix prefix;
    bool const parsed = parse_hexadecimal(key.substr(key_version_tag.size(), id_digits), prefix.primary) &&
                        parse_hexadecimal(key.substr(witness_offset, id_digits), prefix.witness) &&
                        parse_hexadecimal(key.substr(epoch_offset, epoch_digits), prefix.epoch);
    if (!parsed || prefix.primary == 0) {
        throw_malformed(key);
    }
    return prefix;
}

} // namespace pomelospread
