// Every decoder of bytes that come from outside, in one form for the fuzzers.
#pragma once

#include <span>
#include <string_view>

namespace pomelospread {

struct fuzzed_decoder {
    std::string_view name; ///< Also the folder of its seeds.
    /// Returns whether the bytes were taken; a typed error is no failure, anything else is.
    bool (*decode)(std::string_view bytes);
};

[[nodiscard]] std::span<fuzzed_decoder const> fuzzed_decoders();
/// Throws `std::out_of_range` for another name.
[[nodiscard]] fuzzed_decoder const& find_fuzzed_decoder(std::string_view name);

} // namespace pomelospread
