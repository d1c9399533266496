// Three-way merge of declared tables: applies an operator's changes to the version in force.
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

/// The rows that differ between `from` and `to`: routes first, then pools, each sorted by name. The order of
/// a pool's targets and of a route's methods is ignored.
[[nodiscard]] std::vector<row_difference> diff_tables(routing_tables const& from, routing_tables const& to);

/// This edit and another operator's accepted edit changed the same row in different ways.
class merge_conflict : public error {
public:
    explicit merge_conflict(std::vector<std::string> rows);

    [[nodiscard]] std::vector<std::string> const& rows() const noexcept { return m_rows; }

private:
    std::vector<std::string> m_rows;
};

/// Applies the difference from `base` to `mine` onto `theirs`, row by row. The result has `theirs.version`.
/// A row that one side changed takes that side's content. Throws `merge_conflict` when both sides changed a
/// row in different ways, and `invalid_input` when the merged tables are invalid together.
[[nodiscard]] routing_tables merge_tables(routing_tables const& base, routing_tables const& mine,
                                          routing_tables const& theirs);

} // namespace pomelospread
