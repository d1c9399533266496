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

constexpr int corrupted_copies_per_seed = 4000;
constexpr std::uint64_t fixed_seed = 20261204;

std::string read_file(std::filesystem::path const& path) {
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Seeds whose file names begin with `valid` must be decoded. All others must be rejected; some of them once
/// made a decoder fail.
std::vector<std::filesystem::path> seed_paths(fuzzed_decoder const& decoder) {
    std::vector<std::filesystem::path> paths;
    for (auto const& entry :
         std::filesystem::directory_iterator(std::filesystem::path(FUZZ_SEEDS) / decoder.name)) {
        paths.push_back(entry.path());
    }
    std::ranges::sort(paths);
    return paths;
}

/// Applies one to four random changes: replaces, erases or inserts bytes, truncates the input or repeats a
/// part of it.
std::string corrupted(std::string bytes, std::mt19937_64& random) {
    for (auto remaining = 1 + random() % 4; remaining > 0 && !bytes.empty(); --remaining) {
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

TEST(fuzzed_decoders, each_has_seeds_and_decodes_only_the_valid_ones) {
    for (auto const& decoder : fuzzed_decoders()) {
        auto const seeds = seed_paths(decoder);
        CHECK_TEXT(!seeds.empty(), decoder.name.data());
        for (auto const& path : seeds) {
            bool const decoded = decoder.decode(read_file(path));
            CHECK_EQUAL_TEXT(path.filename().string().starts_with("valid"), decoded, path.c_str());
        }
    }
}

TEST(fuzzed_decoders, corrupted_seeds_are_decoded_or_rejected) {
    std::mt19937_64 random(fixed_seed);
    for (auto const& decoder : fuzzed_decoders()) {
        for (auto const& path : seed_paths(decoder)) {
            auto const bytes = read_file(path);
            for (int i = 0; i < corrupted_copies_per_seed; ++i) {
                static_cast<void>(decoder.decode(corrupted(bytes, random)));
            }
        }
    }
}
