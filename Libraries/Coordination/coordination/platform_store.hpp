// What an instance needs of the platform when routes are declared there and targets register themselves
// there.
#pragma once

#include "coordination/platform.hpp"
#include "coordination/target_list_cache.hpp"
#include "state/routing_tables.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace pomelospread {

/// The tables in force with the platform's version at that moment.
struct tables_snapshot {
    std::uint64_t store_version = 0;
    std::optional<routing_tables> content; ///< Nothing when none were declared, or none newer.
};

/// Calls suspend the calling fiber. Each throws `platform_unavailable` or `platform_outcome_unknown`, or
/// `malformed_message` when the platform holds something that cannot be read.
class platform_store {
public:
    virtual ~platform_store() = default;

    [[nodiscard]] virtual tables_snapshot read_tables() = 0;
    /// Waits up to `wait` for tables declared after `store_version`; throws `history_lost` when the platform
    /// no longer knows what happened since.
    [[nodiscard]] virtual tables_snapshot wait_for_newer_tables(std::uint64_t store_version,
                                                                std::chrono::milliseconds wait) = 0;
    /// Entries that cannot be read are left out with a log line.
    [[nodiscard]] virtual target_list_snapshot read_targets() = 0;
    [[nodiscard]] virtual instance_registry& instances() = 0;
    [[nodiscard]] virtual object_store& objects() = 0;
};

/// The platform dropped the history that was asked for.
class history_lost : public error {
public:
    using error::error;
};

} // namespace pomelospread
