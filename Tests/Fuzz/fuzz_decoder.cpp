// The entry point of libFuzzer. Meta/fuzz builds it once for each decoder.
#include "decoders.hpp"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) {
    static auto const& decoder = pomelospread::find_fuzzed_decoder(FUZZED_DECODER);
    static_cast<void>(decoder.decode({reinterpret_cast<char const*>(data), size}));
    return 0;
}
