// Combines the log entries of all instances about one request into its steps and the cause of its outcome.
#pragma once

#include "log_reader.hpp"

#include <string>
#include <vector>

namespace pomelospread {

class request_explainer {
public:
    explicit request_explainer(std::string request_id) : m_request_id(std::move(request_id)) {}

    /// Accepts any entry. Entries of other requests are ignored. Changes of the tables and of the store's
    /// availability are retained until the first entry of the request is added, as the state of each instance
    /// before it.
    void add_entry(log_entry const& entry);

    [[nodiscard]] bool has_entries() const noexcept { return !m_entries.empty(); }
    /// Returns one line for each step, ordered by time, with a heading where the instance changes.
    [[nodiscard]] std::vector<std::string> describe_steps() const;
    /// Returns why the request ended as it did, as far as the added entries show.
    [[nodiscard]] std::string cause() const;

private:
    [[nodiscard]] std::vector<log_entry> sorted_entries() const;

    std::string m_request_id;
    std::vector<log_entry> m_entries;
    std::map<std::string, log_entry> m_last_tables_change; ///< The latest `tables_applied`, by instance.
    /// The latest `store_lost` or `store_regained`, by instance.
    std::map<std::string, log_entry> m_last_store_change;
    /// Number of lines that the log left out, by instance.
    std::map<std::string, std::uint64_t> m_dropped_lines;
};

} // namespace pomelospread
