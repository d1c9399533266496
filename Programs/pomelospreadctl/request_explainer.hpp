// Joins the log lines of all instances about one request into an account with its cause.
#pragma once

#include "log_reader.hpp"

#include <string>
#include <vector>

namespace pomelospread {

class request_explainer {
public:
    explicit request_explainer(std::string request) : m_request_id(std::move(request)) {}

    /// Takes any entry; what does not concern the request is kept only as the instance's state before it.
    void add_entry(log_entry const& entry);

    [[nodiscard]] bool has_entries() const noexcept { return !m_entries.empty(); }
    /// One line for each step, in order of time.
    [[nodiscard]] std::vector<std::string> describe_steps() const;
    /// Why it ended as it did, as far as the lines tell.
    [[nodiscard]] std::string cause() const;

private:
    [[nodiscard]] std::vector<log_entry> sorted_entries() const;

    std::string m_request_id;
    std::vector<log_entry> m_entries;
    std::map<std::string, log_entry> m_last_tables_change; ///< The last change of the tables, by instance.
    std::map<std::string, log_entry>
        m_last_store_change; ///< The last loss or return of the store, by instance.
    std::map<std::string, std::uint64_t>
        m_dropped_lines; ///< Lines of requests that the log left out, by instance.
};

} // namespace pomelospread
