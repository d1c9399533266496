// Collects a customer's account records from the object store.
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

/// Selects the requests of one customer in a period that includes both of its bounds.
struct account_query {
    std::string customer;
    std::int64_t from_unix_ms = 0;
    std::int64_t to_unix_ms = 0;
};

/// A reason why records of one instance may be missing from the exported account.
struct coverage_gap {
    instance_id owner = 0;
    std::string reason;
};

struct exported_account {
    std::vector<account_record> records; ///< Each request once, in order of time.
    std::vector<coverage_gap> coverage_gaps;
};

enum class account_format { json_lines, csv };

/// Reads every account segment in the store and selects the records of the query. `live_instances` are still
/// running and may hold records that are not stored yet: those of them that have stored a segment, but not
/// their final one, are reported as coverage gaps. `progress` is called with the number of segments read and
/// their total. Throws `platform_unavailable`, or `malformed_message` for a segment that cannot be decoded.
[[nodiscard]] exported_account export_account(object_store& store, account_query const& query,
                                              std::span<instance_id const> live_instances,
                                              std::function<void(std::size_t, std::size_t)> const& progress);

/// Writes one record per line; CSV as in RFC 4180, with a header line.
void write_account(std::ostream& out, exported_account const& result, account_format format);

} // namespace pomelospread
