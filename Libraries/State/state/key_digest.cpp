#include "state/key_digest.hpp"

#include <sodium.h>

namespace pomelospread {

key_digest digest_of_key(std::string_view key) {
    key_digest digest{};
    crypto_generichash(digest.data(), digest.size(), reinterpret_cast<unsigned char const*>(key.data()),
                       key.size(), nullptr, 0);
    return digest;
}

} // namespace pomelospread
