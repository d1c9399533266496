#include "state/routing_tables_merge.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>

namespace pomelospread {

namespace {

template<class Row>
std::map<std::string, Row> by_name(std::vector<Row> const& rows) {
    std::map<std::string, Row> result;
    for (auto const& row : rows) {
        result.emplace(row.name, row);
    }
    return result;
}

pool_row normalized(pool_row row) {
    std::ranges::sort(row.targets);
    return row;
}

route_row normalized(route_row row) {
    std::ranges::sort(row.methods);
    return row;
}

template<class Row>
std::optional<Row> lookup(std::map<std::string, Row> const& rows, std::string const& name) {
    auto const found = rows.find(name);
    return found == rows.end() ? std::nullopt : std::optional(normalized(found->second));
}

template<class... Maps>
std::set<std::string> names_of(Maps const&... maps) {
    std::set<std::string> names;
    (std::ranges::for_each(maps, [&](auto const& entry) { names.insert(entry.first); }), ...);
    return names;
}

std::string row_title(std::string const& kind, std::string const& name) {
    std::string title = kind;
    title += " \"";
    title += name;
    title += '"';
    return title;
}

template<class Row>
void append_difference(std::vector<Row> const& from, std::vector<Row> const& to, std::string const& kind,
                       std::vector<row_difference>& into) {
    auto const old_rows = by_name(from);
    auto const new_rows = by_name(to);
    for (auto const& name : names_of(old_rows, new_rows)) {
        auto const before = lookup(old_rows, name);
        auto const after = lookup(new_rows, name);
        if (before == after) {
            continue;
        }
        auto const change = !before ? row_change::added : !after ? row_change::removed : row_change::changed;
        into.push_back({.row = row_title(kind, name), .change = change});
    }
}

template<class Row>
std::vector<Row> merge_rows(std::vector<Row> const& base, std::vector<Row> const& mine,
                            std::vector<Row> const& theirs, std::string const& kind,
                            std::vector<std::string>& conflicts) {
    auto const base_rows = by_name(base);
    auto const my_rows = by_name(mine);
    auto const their_rows = by_name(theirs);
    std::vector<Row> merged;
    for (auto const& name : names_of(base_rows, my_rows, their_rows)) {
        auto const before = lookup(base_rows, name);
        auto const my_row = lookup(my_rows, name);
        auto const their_row = lookup(their_rows, name);
        bool const changed_by_both = my_row != before && their_row != before && my_row != their_row;
        if (changed_by_both) {
            conflicts.push_back(row_title(kind, name));
            continue;
        }
        auto const& selected = my_row != before ? my_row : their_row;
        if (selected) {
            merged.push_back(*selected);
        }
    }
    return merged;
}

std::string conflict_text(std::vector<std::string> const& rows) {
    std::string text = "another accepted edit changed the same rows:";
    for (auto const& row : rows) {
        text += " " + row;
    }
    return text;
}

} // namespace

std::vector<row_difference> diff_tables(routing_tables const& from, routing_tables const& to) {
    std::vector<row_difference> result;
    append_difference(from.routes, to.routes, "route", result);
    append_difference(from.pools, to.pools, "pool", result);
    return result;
}

merge_conflict::merge_conflict(std::vector<std::string> rows)
    : error(conflict_text(rows)), m_rows(std::move(rows)) {}

routing_tables merge_tables(routing_tables const& base, routing_tables const& mine,
                            routing_tables const& theirs) {
    std::vector<std::string> conflicts;
    routing_tables merged;
    merged.version = theirs.version;
    merged.routes = merge_rows(base.routes, mine.routes, theirs.routes, "route", conflicts);
    merged.pools = merge_rows(base.pools, mine.pools, theirs.pools, "pool", conflicts);
    if (!conflicts.empty()) {
        throw merge_conflict(std::move(conflicts));
    }
    throw_if_invalid(merged);
    return merged;
}

} // namespace pomelospread
