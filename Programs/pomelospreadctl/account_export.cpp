#include "account_export.hpp"

#include "state/account_journal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

namespace pomelospread {

namespace {

/// The sequence numbers of one instance's records that the segments contain.
struct owner_coverage {
    std::set<std::uint64_t> recovered; ///< Last sequence of each segment that a peer recovered.
    std::map<std::uint64_t, std::uint64_t>
        stored;         ///< First and last sequence of each segment that the instance stored.
    bool final = false; ///< Whether the instance stored its last segment in a planned stop.
};

/// Returns the sequence ranges between the stored segments, for example `2-3, 7-9`.
std::string missing_ranges(owner_coverage const& coverage) {
    std::string ranges;
    std::uint64_t next = 1;
    for (auto const& [first, last] : coverage.stored) {
        if (first > next) {
            ranges += (ranges.empty() ? "" : ", ") + std::to_string(next) + "-" + std::to_string(first - 1);
        }
        next = std::max(next, last + 1);
    }
    return ranges;
}

/// Collects the records of the query, each id once, and the coverage of each instance.
class record_collector {
public:
    record_collector(object_store& store, account_query const& query) : m_store(store), m_query(query) {}

    void read_segment(std::string const& name) {
        auto const content = m_store.get(name);
        if (!content) {
            return;
        }
        auto const segment = decode_segment(*content);
        auto& coverage = m_coverage_by_owner[segment.owner];
        if (segment.recovered) {
            coverage.recovered.insert(segment.last_sequence);
        } else {
            auto& last = coverage.stored[segment.first_sequence];
            last = std::max(last, segment.last_sequence);
            coverage.final = coverage.final || segment.final;
        }
        for (auto const& record : segment.records) {
            add_record(record);
        }
    }

    exported_account finish(std::span<instance_id const> live_instances) {
        exported_account result;
        for (auto& [id, record] : m_records) {
            result.records.push_back(std::move(record));
        }
        std::ranges::sort(result.records, {},
                          [](account_record const& record) { return std::pair(record.unix_ms, record.id); });
        for (auto const& [id, coverage] : m_coverage_by_owner) {
            add_coverage_gaps(result, id, coverage,
                              std::ranges::find(live_instances, id) != live_instances.end());
        }
        return result;
    }

private:
    void add_record(account_record const& record) {
        bool const in_range = record.unix_ms >= m_query.from_unix_ms && record.unix_ms <= m_query.to_unix_ms;
        if (record.customer != m_query.customer || !in_range) {
            return;
        }
        auto const [found, added] = m_records.try_emplace(record.id, record);
        // The same request may be stored several times; the record with an outcome is the complete one.
        if (!added && found->second.outcome.empty()) {
            found->second = record;
        }
    }

    static void add_coverage_gaps(exported_account& result, instance_id id, owner_coverage const& coverage,
                                  bool is_live) {
        if (auto const missing = missing_ranges(coverage); !missing.empty()) {
            result.coverage_gaps.push_back({.owner = id, .reason = "records " + missing + " are missing"});
        }
        if (coverage.final) {
            return;
        }
        if (is_live) {
            result.coverage_gaps.push_back(
                {.owner = id, .reason = "it is still running; its newest records are not stored yet"});
        } else if (coverage.recovered.empty()) {
            result.coverage_gaps.push_back(
                {.owner = id, .reason = "it ended without its last records being recovered"});
        }
    }

    object_store& m_store;
    account_query const& m_query;
    std::map<std::string, account_record> m_records;
    std::map<std::uint64_t, owner_coverage> m_coverage_by_owner;
};

std::string csv_field(std::string const& value) {
    if (value.find_first_of("\",\r\n") == std::string::npos) {
        return value;
    }
    std::string quoted = "\"";
    for (char const c : value) {
        quoted += c == '"' ? std::string("\"\"") : std::string(1, c);
    }
    return quoted + "\"";
}

void write_csv(std::ostream& out, account_record const& record) {
    out << csv_field(record.id) << ',' << csv_field(record.customer) << ',' << record.unix_ms << ','
        << csv_field(record.method) << ',' << csv_field(record.path) << ',' << csv_field(record.route) << ','
        << csv_field(record.key) << ',' << csv_field(record.target) << ','
        << (record.outcome.empty() ? "unknown" : record.outcome) << ',' << record.status << "\r\n";
}

void write_json(std::ostream& out, account_record const& record) {
    nlohmann::json const line{{"id", record.id},
                              {"customer", record.customer},
                              {"unix_ms", record.unix_ms},
                              {"method", record.method},
                              {"path", record.path},
                              {"route", record.route},
                              {"key", record.key},
                              {"target", record.target},
                              {"outcome", record.outcome.empty() ? "unknown" : record.outcome},
                              {"status", record.status}};
    out << line.dump() << "\n";
}

} // namespace

exported_account export_account(object_store& store, account_query const& query,
                                std::span<instance_id const> live_instances,
                                std::function<void(std::size_t, std::size_t)> const& progress) {
    auto names = store.list("accounts/own/");
    auto const recovered = store.list("accounts/recovered/");
    names.insert(names.end(), recovered.begin(), recovered.end());
    record_collector collector(store, query);
    for (std::size_t i = 0; i < names.size(); ++i) {
        collector.read_segment(names[i]);
        progress(i + 1, names.size());
    }
    return collector.finish(live_instances);
}

void write_account(std::ostream& out, exported_account const& result, account_format format) {
    if (format == account_format::csv) {
        out << "id,customer,unix_ms,method,path,route,key,target,outcome,status\r\n";
    }
    for (auto const& record : result.records) {
        if (format == account_format::csv) {
            write_csv(out, record);
        } else {
            write_json(out, record);
        }
    }
}

} // namespace pomelospread
