// Checks what targets and instances state about themselves, before it is used or passed on.
#pragma once

#include "coordination/platform.hpp"
#include "coordination/target_list_cache.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pomelospread {

struct entry_limits {
    static constexpr std::size_t max_text_bytes = 200;         ///< As for the platform's own keys.
    static constexpr std::int64_t max_slots = 65536;           ///< As many as an address has ports.
    static constexpr std::int64_t max_warm_up_ms = 86'400'000; ///< A day; targets warm up within seconds.
};

/// The names of the fields in the messages of `throw_if_invalid`.
struct listed_target_field_names {
    std::string_view id = "id";
    std::string_view pool = "pool";
    std::string_view address = "address";
    std::string_view zone = "zone";
    std::string_view slots = "slots";
    std::string_view warm_up_remaining = "warm_up_remaining_ms";
    std::string_view started = "started_unix_ms";
};

/// Throw `invalid_input` with each field that is out of its range and the range. Thread-safe.
void throw_if_invalid(listed_target const& target, listed_target_field_names const& names = {});
void throw_if_invalid(instance_entry const& entry);

} // namespace pomelospread
