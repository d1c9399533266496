#include "account_export.hpp"

#include "state/account_journal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>

namespace pomelospread {

namespace {

/// What is known of one instance's sequences.
struct owner_coverage {
    std::set<std::uint64_t> recovered;
    std::map<std::uint64_t, std::uint64_t> stored; ///< First to last sequence of each segment.
    bool final = false;
};

std::string missing_ranges(owner_coverage const& owner) {
    std::string text;
    std::uint64_t next = 1;
    for (auto const& [first, last] : owner.stored) {
        if (first > next) {
            text += (text.empty() ? "" : ", ") + std::to_string(next) + "-" + std::to_string(first - 1);
        }
        next = std::max(next, last + 1);
    }
    return text;
}

class exporter {
public:
    exporter(object_store& store, account_query const& wanted) : m_store(store), m_wanted(wanted) {}

    void read(std::string const& name) {
        auto const content = m_store.get(name);
        if (!content) {
            return;
        }
        auto const segment = decode_segment(*content);
        auto& owner = m_owners[segment.owner];
        if (segment.recovered) {
            owner.recovered.insert(segment.last_sequence);
        } else {
            auto& last = owner.stored[segment.first_sequence];
            last = std::max(last, segment.last_sequence);
            owner.final = owner.final || segment.final;
        }
        for (auto const& record : segment.records) {
            add(record);
        }
    }

    exported_account finish(std::span<instance_id const> live) {
        exported_account result;
        for (auto& [id, record] : m_records) {
            result.records.push_back(std::move(record));
        }
        std::ranges::sort(result.records, {},
                          [](account_record const& record) { return std::pair(record.unix_ms, record.id); });
        for (auto const& [id, owner] : m_owners) {
            add_unvouched(result, id, owner, std::ranges::find(live, id) != live.end());
        }
        return result;
    }

private:
    void add(account_record const& record) {
        bool const in_range =
            record.unix_ms >= m_wanted.from_unix_ms && record.unix_ms <= m_wanted.to_unix_ms;
        if (record.customer != m_wanted.customer || !in_range) {
            return;
        }
        auto const [found, added] = m_records.try_emplace(record.id, record);
        if (!added && found->second.outcome.empty()) {
            found->second = record;
        }
    }

    static void add_unvouched(exported_account& result, instance_id id, owner_coverage const& owner,
                              bool is_live) {
        if (auto const missing = missing_ranges(owner); !missing.empty()) {
            result.coverage_gaps.push_back({.owner = id, .reason = "records " + missing + " are missing"});
        }
        if (owner.final) {
            return;
        }
        if (is_live) {
            result.coverage_gaps.push_back(
                {.owner = id, .reason = "it still runs; its newest records are not stored yet"});
        } else if (owner.recovered.empty()) {
            result.coverage_gaps.push_back(
                {.owner = id, .reason = "it ended without its last records being recovered"});
        }
    }

    object_store& m_store;
    account_query const& m_wanted;
    std::map<std::string, account_record> m_records;
    std::map<std::uint64_t, owner_coverage> m_owners;
};

std::string csv_field(std::string const& value) {
    if (value.find_first_of("\",\r\n") == std::string::npos) {
        return value;
    }
    std::string text = "\"";
    for (char const c : value) {
        text += c == '"' ? std::string("\"\"") : std::string(1, c);
    }
    return text + "\"";
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

exported_account export_account(object_store& store, account_query const& wanted,
                                std::span<instance_id const> live,
                                std::function<void(std::size_t, std::size_t)> const& progress) {
    auto names = store.list("accounts/own/");
    auto const recovered = store.list("accounts/recovered/");
    names.insert(names.end(), recovered.begin(), recovered.end());
    exporter reader(store, wanted);
    for (std::size_t i = 0; i < names.size(); ++i) {
        reader.read(names[i]);
        progress(i + 1, names.size());
    }
    return reader.finish(live);
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
