#include "decoders.hpp"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

using namespace pomelospread;

namespace {

constexpr int changed_copies = 4000;
constexpr std::uint64_t fixed_seed = 20261204;

std::string read_file(std::filesystem::path const& path) {
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Seeds whose file names begin with `valid` decode; the others are inputs that once failed or should not.
std::vector<std::filesystem::path> seeds_of(fuzzed_decoder const& decoder) {
    std::vector<std::filesystem::path> paths;
    for (auto const& entry :
         std::filesystem::directory_iterator(std::filesystem::path(FUZZ_SEEDS) / decoder.name)) {
        paths.push_back(entry.path());
    }
    std::ranges::sort(paths);
    return paths;
}

std::string changed(std::string bytes, std::mt19937_64& random) {
    for (auto changes = 1 + random() % 4; changes > 0 && !bytes.empty(); --changes) {
        auto const at = random() % bytes.size();
        switch (random() % 5) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, 1 + random() % 8);
            break;
        case 2:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 3:
            bytes.resize(at);
            break;
        default:
            bytes.insert(at, bytes.substr(random() % bytes.size(), random() % 16));
            break;
        }
    }
    return bytes;
}

} // namespace

TEST_GROUP(fuzzed_decoders){};

TEST(fuzzed_decoders, each_has_seeds_and_takes_the_valid_ones) {
    for (auto const& decoder : fuzzed_decoders()) {
        auto const seeds = seeds_of(decoder);
        CHECK_TEXT(!seeds.empty(), decoder.name.data());
        for (auto const& path : seeds) {
            bool const taken = decoder.decode(read_file(path));
            CHECK_EQUAL_TEXT(path.filename().string().starts_with("valid"), taken, path.c_str());
        }
    }
}

TEST(fuzzed_decoders, changed_seeds_are_taken_or_a_typed_error) {
    std::mt19937_64 random(fixed_seed);
    for (auto const& decoder : fuzzed_decoders()) {
        for (auto const& path : seeds_of(decoder)) {
            auto const bytes = read_file(path);
            for (int i = 0; i < changed_copies; ++i) {
                static_cast<void>(decoder.decode(changed(bytes, random)));
            }
        }
    }
}
