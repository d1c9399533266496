// Stores the versions of the routing tables in the platform's table service. Each edit has an id and is
// committed conditionally.
#pragma once

#include "coordination/platform.hpp"
#include "state/routing_tables.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// An accepted version of the tables, as the history stores it.
struct tables_revision {
    std::uint64_t version = 0;
    std::string edit_id;
    std::string author;
    std::int64_t accepted_unix_ms = 0;
    routing_tables tables_content;
};

/// Encodes an accepted version as a value of the table service, and decodes it.
/// `decode_revision` throws `malformed_message` when the text is not such a value.
[[nodiscard]] std::string encode_revision(tables_revision const& revision);
[[nodiscard]] tables_revision decode_revision(std::string_view text);

/// The result of a committed edit.
struct edit_result {
    tables_revision revision;
    bool unchanged = false; ///< The declared tables were already in force; nothing was written.
};

/// Reads and edits the tables through any table service. As thread-safe as the table service.
class table_store {
public:
    explicit table_store(table_service& service) : m_service(service) {}

    /// The version in force; version 0 with empty tables before the first edit.
    [[nodiscard]] tables_revision current() const;
    /// A version of the history. Throws `invalid_input` naming `version` when there is none.
    [[nodiscard]] tables_revision revision(std::uint64_t version) const;
    /// Up to `count` accepted versions, the newest first.
    [[nodiscard]] std::vector<tables_revision> history(std::size_t count) const;
    /// The version that the edit with this id created, if it was accepted.
    [[nodiscard]] std::optional<std::uint64_t> version_of(std::string_view edit_id) const;

    /// Merges `declared`, which was based on version `base`, into the version in force and commits it.
    /// When another edit is committed concurrently, the merge is repeated. When the response to the commit is
    /// lost, the edit's id is read to find out whether it was accepted.
    /// Throws `merge_conflict`, `invalid_input`, `version_conflict` or `platform_unavailable` (nothing was
    /// changed), or `platform_outcome_unknown` (call `version_of` later).
    edit_result merge_and_commit(routing_tables const& declared, std::uint64_t base, std::string_view edit_id,
                                 std::string_view author, std::int64_t now_unix_ms);

private:
    enum class commit_result : std::uint8_t { accepted, conflict };

    [[nodiscard]] tables_revision read_revision(std::string_view key) const;
    commit_result commit(tables_revision const& edit);
    commit_result resolve_unknown_commit(tables_revision const& edit);

    table_service& m_service;
};

} // namespace pomelospread
