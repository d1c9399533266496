// The interface to the platform's store, in which operators declare the routing tables and targets register
// themselves.
#pragma once

#include "coordination/member_registry.hpp"
#include "coordination/platform.hpp"
#include "coordination/rate_division.hpp"
#include "coordination/store_version.hpp"
#include "coordination/target_list_cache.hpp"
#include "coordination/zone_evacuations.hpp"
#include "state/routing_tables.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

namespace pomelospread {

/// The result of a read of the tables: their content, if it is new, and the store's version at the time of
/// the read, which is not the version of the tables.
struct tables_snapshot {
    store_version position;
    std::optional<routing_tables> content; ///< Empty when no tables, or no newer ones, were declared.
    /// The evacuations that changed since the position of the read; of a complete read, those in force.
    std::vector<zone_evacuation> evacuations{};
    bool is_complete = false; ///< The result of `read_tables`.
};

/// Where the platform's store has the division of the fleet's rates. Throws what `platform_store` throws.
class rate_division_store {
public:
    virtual ~rate_division_store() = default;

    /// Version number 0 when there is none. One that cannot be decoded is logged and has no holders.
    [[nodiscard]] virtual rate_division read_division() = 0;
    /// Writes `next` if the division has still the version `expected`; the version of `next` is not used.
    /// Returns whether it did.
    [[nodiscard]] virtual bool replace_division(rate_division const& next, store_version expected) = 0;
};

/// Calls suspend the calling fiber. Each throws `platform_unavailable` or `platform_outcome_unknown`, or
/// `malformed_message` when stored data cannot be decoded.
class platform_store {
public:
    virtual ~platform_store() = default;

    /// `observe` is called with the era that a response of any call states, before that call returns or
    /// throws. It is not called for responses that state none.
    virtual void set_era_observer(std::function<void(std::uint64_t)> observe) = 0;
    [[nodiscard]] virtual tables_snapshot read_tables() = 0;
    /// Waits up to `max_wait` for tables declared after `position`. Throws `history_lost` when the platform's
    /// store has dropped the changes since then or does not have that version. A result of another era than
    /// the position's does not continue from it.
    [[nodiscard]] virtual tables_snapshot wait_for_newer_tables(store_version position,
                                                                std::chrono::milliseconds max_wait) = 0;
    /// Like `wait_for_newer_tables`, but returns at once. May be called while such a wait is in progress.
    [[nodiscard]] virtual tables_snapshot read_newer_tables(store_version position) = 0;
    /// Makes a `wait_for_newer_tables` in progress throw `platform_unavailable` or
    /// `platform_outcome_unknown`, since its response is not expected any more.
    virtual void cancel_wait_for_newer_tables() = 0;
    /// Omits malformed entries and logs each of them.
    [[nodiscard]] virtual target_list_snapshot read_targets() = 0;
    [[nodiscard]] virtual member_registry& members() = 0;
    [[nodiscard]] virtual object_store& objects() = 0;
    [[nodiscard]] virtual rate_division_store& rate_divisions() = 0;
};

/// The platform's store has dropped the requested part of its history.
class history_lost : public error {
public:
    using error::error;
};

} // namespace pomelospread
