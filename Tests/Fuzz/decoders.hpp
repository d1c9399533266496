// All decoders of input from other processes, with a common signature for the fuzzers.
#pragma once

#include <span>
#include <string_view>

namespace pomelospread {

struct fuzzed_decoder {
    std::string_view name; ///< Also the name of the folder with its seeds.
    /// Returns whether the bytes were decoded; `malformed_message` counts as rejected input. Any other
    /// exception is a fault of the decoder and is passed on.
    bool (*decode)(std::string_view bytes);
};

[[nodiscard]] std::span<fuzzed_decoder const> fuzzed_decoders();
/// Throws `std::out_of_range` when no decoder has the name.
[[nodiscard]] fuzzed_decoder const& find_fuzzed_decoder(std::string_view name);

} // namespace pomelospread
