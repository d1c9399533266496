// Three-way merge of declared tables: what the operator changed, applied to what is in force.
#pragma once

#include "state/routing_tables.hpp"

#include <string>
#include <vector>

namespace pomelospread {

enum class row_change { added, changed, removed };

/// One difference between two versions of the tables.
struct row_difference {
    std::string row; ///< For example `pool "fees-ledger"`.
    row_change change = row_change::changed;

    bool operator==(row_difference const&) const = default;
};

/// Rows whose content differs between `from` and `to`, routes first, in order of their names.
[[nodiscard]] std::vector<row_difference> diff_tables(routing_tables const& from, routing_tables const& to);

/// Another operator's accepted edit and this one changed the same row differently.
class merge_conflict : public error {
public:
    explicit merge_conflict(std::vector<std::string> rows);

    [[nodiscard]] std::vector<std::string> const& rows() const noexcept { return m_rows; }

private:
    std::vector<std::string> m_rows;
};

/// Applies the difference from `base` to `mine` onto `theirs`, row by row, and keeps `theirs.version`.
/// A row changed on one side only takes that side. Throws `merge_conflict` when both sides changed a row in
/// different ways, and `invalid_input` when the merged tables are jointly invalid.
[[nodiscard]] routing_tables merge_tables(routing_tables const& base, routing_tables const& mine,
                                          routing_tables const& theirs);

} // namespace pomelospread
