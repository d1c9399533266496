#include "base/random.hpp"

namespace pomelospread {

random_source& thread_random() {
    thread_local random_source s_source = [] {
        std::random_device entropy;
        std::seed_seq seed{entropy(), entropy(), entropy(), entropy()};
        return random_source(seed);
    }();
    return s_source;
}

} // namespace pomelospread
