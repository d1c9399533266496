// Collects a customer's account from the object store.
#pragma once

#include "coordination/platform.hpp"
#include "state/account_record.hpp"

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <span>
#include <string>
#include <vector>

namespace pomelospread {

/// Which requests are wanted; both times are included.
struct account_query {
    std::string customer;
    std::int64_t from_unix_ms = 0;
    std::int64_t to_unix_ms = 0;
};

/// Requests of one instance that the account may lack.
struct coverage_gap {
    instance_id owner = 0;
    std::string reason;
};

struct exported_account {
    std::vector<account_record> records; ///< Each request once, in order of time.
    std::vector<coverage_gap> coverage_gaps;
};

enum class account_format { json_lines, csv };

/// Reads every segment that can hold the wanted requests. `live` are the instances that still run: what they
/// have not stored yet is named as not vouched for. `progress` is told how many segments were read.
/// Throws `platform_unavailable`.
[[nodiscard]] exported_account export_account(object_store& store, account_query const& wanted,
                                              std::span<instance_id const> live,
                                              std::function<void(std::size_t, std::size_t)> const& progress);

/// Writes the records, one a line; CSV as in RFC 4180.
void write_account(std::ostream& out, exported_account const& result, account_format format);

} // namespace pomelospread
