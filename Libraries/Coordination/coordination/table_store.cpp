#include "coordination/table_store.hpp"

#include "state/routing_tables_merge.hpp"
#include "state/routing_tables_toml.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>

namespace pomelospread {

namespace {

constexpr std::string_view current_key = "tables/current";
constexpr std::size_t max_apply_attempts = 16;
constexpr std::size_t max_resolve_attempts = 5;

std::string history_key(std::uint64_t version) {
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), "tables/history/%012llu",
                  static_cast<unsigned long long>(version));
    return text.data();
}

std::string edit_key(std::string_view edit_id) {
    return "tables/edits/" + std::string(edit_id);
}

} // namespace

std::string encode_revision(tables_revision const& revision) {
    nlohmann::json const document{{"version", revision.version},
                                  {"edit_id", revision.edit_id},
                                  {"author", revision.author},
                                  {"accepted_unix_ms", revision.accepted_unix_ms},
                                  {"routes", format_routes(revision.tables_content)},
                                  {"pools", format_pools(revision.tables_content)}};
    return document.dump();
}

tables_revision decode_revision(std::string_view text) {
    try {
        auto const document = nlohmann::json::parse(text);
        tables_revision revision;
        revision.version = document.at("version").get<std::uint64_t>();
        revision.edit_id = document.at("edit_id").get<std::string>();
        revision.author = document.at("author").get<std::string>();
        revision.accepted_unix_ms = document.at("accepted_unix_ms").get<std::int64_t>();
        revision.tables_content = parse_tables({"stored routes", document.at("routes").get<std::string>()},
                                               {"stored pools", document.at("pools").get<std::string>()});
        revision.tables_content.version = revision.version;
        return revision;
    } catch (nlohmann::json::exception const& failure) {
        throw malformed_message(std::string("stored tables are malformed: ") + failure.what());
    } catch (invalid_input const& failure) {
        throw malformed_message(std::string("stored tables are malformed: ") + failure.what());
    }
}

tables_revision table_store::current() const {
    return read_revision(current_key);
}

tables_revision table_store::revision(std::uint64_t version) const {
    if (version == 0) {
        return {};
    }
    auto edit = read_revision(history_key(version));
    if (edit.version != version) {
        throw invalid_input({{.field = "version",
                              .problem = std::to_string(version) + " was never accepted",
                              .allowed = "a version that `history` lists"}});
    }
    return edit;
}

std::vector<tables_revision> table_store::history(std::size_t count) const {
    std::vector<tables_revision> result;
    auto version = current().version;
    while (version > 0 && result.size() < count) {
        result.push_back(revision(version--));
    }
    return result;
}

std::optional<std::uint64_t> table_store::version_of(std::string_view edit_id) const {
    auto const cell = m_service.read(edit_key(edit_id));
    if (cell.version == 0) {
        return std::nullopt;
    }
    return std::stoull(cell.value);
}

edit_result table_store::merge_and_commit(routing_tables const& declared, std::uint64_t base,
                                          std::string_view edit_id, std::string_view author,
                                          std::int64_t now_unix_ms) {
    throw_if_invalid(declared);
    if (auto const version = version_of(edit_id); version) {
        return {.revision = revision(*version), .unchanged = false};
    }
    auto const base_tables = revision(base).tables_content;
    for (std::size_t attempt = 0; attempt < max_apply_attempts; ++attempt) {
        auto const in_force = current();
        auto merged = merge_tables(base_tables, declared, in_force.tables_content);
        if (diff_tables(in_force.tables_content, merged).empty()) {
            return {.revision = in_force, .unchanged = true};
        }
        tables_revision edit{.version = in_force.version + 1,
                             .edit_id = std::string(edit_id),
                             .author = std::string(author),
                             .accepted_unix_ms = now_unix_ms,
                             .tables_content = std::move(merged)};
        edit.tables_content.version = edit.version;
        if (commit(edit) == commit_result::accepted) {
            return {.revision = std::move(edit), .unchanged = false};
        }
    }
    throw version_conflict(
        "edits of other operators were committed first in every attempt; nothing was changed");
}

tables_revision table_store::read_revision(std::string_view key) const {
    auto const cell = m_service.read(key);
    return cell.version == 0 ? tables_revision{} : decode_revision(cell.value);
}

table_store::commit_result table_store::commit(tables_revision const& edit) {
    // The cell's version counts the writes to the cell, so it equals the version of the tables.
    std::array const conditions{table_condition{std::string(current_key), edit.version - 1},
                                table_condition{edit_key(edit.edit_id), 0}};
    auto const text = encode_revision(edit);
    std::array const writes{table_write{std::string(current_key), text},
                            table_write{history_key(edit.version), text},
                            table_write{edit_key(edit.edit_id), std::to_string(edit.version)}};
    try {
        m_service.transact(conditions, writes);
        return commit_result::accepted;
    } catch (version_conflict const&) {
        return resolve_unknown_commit(edit);
    } catch (platform_outcome_unknown const&) {
        return resolve_unknown_commit(edit);
    }
}

table_store::commit_result table_store::resolve_unknown_commit(tables_revision const& edit) {
    for (std::size_t attempt = 0; attempt < max_resolve_attempts; ++attempt) {
        try {
            if (version_of(edit.edit_id)) {
                return commit_result::accepted;
            }
            if (current().version >= edit.version) {
                return version_of(edit.edit_id) ? commit_result::accepted : commit_result::conflict;
            }
            // The transaction whose response is missing may still take effect. After a conflict,
            // `merge_and_commit` commits the same edit again; both commits require that the edit's id is
            // absent, so at most one of them takes effect.
            return commit_result::conflict;
        } catch (platform_unavailable const&) {
            continue;
        }
    }
    throw platform_outcome_unknown(
        "edit " + edit.edit_id +
        ": the platform's response was lost; it is not yet known whether the edit was accepted");
}

} // namespace pomelospread
