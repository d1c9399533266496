#include "state/account_journal.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace pomelospread {

namespace {

nlohmann::json to_json(account_record const& record) {
    return {{"id", record.id},           {"customer", record.customer}, {"key", record.key},
            {"unix_ms", record.unix_ms}, {"method", record.method},     {"path", record.path},
            {"route", record.route},     {"target", record.target},     {"outcome", record.outcome},
            {"status", record.status}};
}

account_record record_from_json(nlohmann::json const& line) {
    account_record record;
    line.at("id").get_to(record.id);
    line.at("customer").get_to(record.customer);
    line.at("key").get_to(record.key);
    line.at("unix_ms").get_to(record.unix_ms);
    line.at("method").get_to(record.method);
    line.at("path").get_to(record.path);
    line.at("route").get_to(record.route);
    line.at("target").get_to(record.target);
    line.at("outcome").get_to(record.outcome);
    line.at("status").get_to(record.status);
    return record;
}

void set_time_range(account_segment& segment) {
    auto const [oldest, newest] = std::ranges::minmax(segment.records, {}, &account_record::unix_ms);
    segment.oldest_unix_ms = oldest.unix_ms;
    segment.newest_unix_ms = newest.unix_ms;
}

} // namespace

std::string encode_segment(account_segment const& segment) {
    nlohmann::json const header{{"owner", segment.owner},
                                {"first_sequence", segment.first_sequence},
                                {"last_sequence", segment.last_sequence},
                                {"final", segment.final},
                                {"recovered", segment.recovered},
                                {"oldest_unix_ms", segment.oldest_unix_ms},
                                {"newest_unix_ms", segment.newest_unix_ms}};
    std::string text = header.dump() + "\n";
    for (auto const& record : segment.records) {
        // A path may hold bytes that are not UTF-8. They are replaced, since `dump` would otherwise throw and
        // the record would be lost.
        text += to_json(record).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return text;
}

account_segment decode_segment(std::string_view text) {
    try {
        std::istringstream lines{std::string(text)};
        std::string line;
        std::getline(lines, line);
        auto const header = nlohmann::json::parse(line);
        account_segment segment;
        header.at("owner").get_to(segment.owner);
        header.at("first_sequence").get_to(segment.first_sequence);
        header.at("last_sequence").get_to(segment.last_sequence);
        header.at("final").get_to(segment.final);
        header.at("recovered").get_to(segment.recovered);
        header.at("oldest_unix_ms").get_to(segment.oldest_unix_ms);
        header.at("newest_unix_ms").get_to(segment.newest_unix_ms);
        while (std::getline(lines, line)) {
            segment.records.push_back(record_from_json(nlohmann::json::parse(line)));
        }
        return segment;
    } catch (nlohmann::json::exception const& failure) {
        throw malformed_message(std::string("malformed account segment: ") + failure.what());
    }
}

std::string segment_object_name(account_segment const& segment) {
    std::array<char, 128> text{};
    std::snprintf(text.data(), text.size(), "accounts/%s/%016llx/%012llu-%012llu",
                  segment.recovered ? "recovered" : "own", static_cast<unsigned long long>(segment.owner),
                  static_cast<unsigned long long>(segment.first_sequence),
                  static_cast<unsigned long long>(segment.last_sequence));
    return text.data();
}

account_journal::account_journal(std::uint64_t self, std::size_t capacity)
    : m_self(self), m_capacity(capacity) {}

std::optional<std::uint64_t> account_journal::append(account_record record) {
    if (size() >= m_capacity) {
        return std::nullopt;
    }
    m_own_records.push_back(std::move(record));
    return m_next_sequence++;
}

bool account_journal::complete(std::uint64_t sequence, account_record record) {
    if (sequence > m_last_stored_sequence) {
        m_own_records[sequence - m_last_stored_sequence - 1] = std::move(record);
        return true;
    }
    // The stored record has no outcome; the merge at export prefers this one. The journal may exceed its
    // capacity by the number of requests in progress, which admission limits.
    m_own_records.push_back(std::move(record));
    ++m_next_sequence;
    return false;
}

std::optional<account_segment> account_journal::next_segment(std::size_t max_records, bool final) const {
    if (m_own_records.empty() && !final) {
        return std::nullopt;
    }
    account_segment segment;
    segment.owner = m_self;
    segment.first_sequence = m_last_stored_sequence + 1;
    auto const count = std::min(max_records, m_own_records.size());
    segment.last_sequence = m_last_stored_sequence + count;
    segment.final = final && count == m_own_records.size();
    segment.records.assign(m_own_records.begin(), m_own_records.begin() + static_cast<std::ptrdiff_t>(count));
    if (!segment.records.empty()) {
        set_time_range(segment);
    }
    return segment;
}

void account_journal::mark_stored(std::uint64_t last_sequence) {
    while (m_last_stored_sequence < last_sequence && !m_own_records.empty()) {
        m_own_records.pop_front();
        ++m_last_stored_sequence;
    }
}

bool account_journal::add_replica(std::uint64_t owner, std::uint64_t sequence, account_record record) {
    if (auto const replicas = m_replicas.find(owner); replicas != m_replicas.end()) {
        if (auto const found = replicas->second.find(sequence); found != replicas->second.end()) {
            found->second = std::move(record);
            return true;
        }
    }
    if (size() >= m_capacity) {
        return false;
    }
    m_replicas[owner].emplace(sequence, std::move(record));
    ++m_replica_count;
    return true;
}

void account_journal::remove_replicas_through(std::uint64_t owner, std::uint64_t last_sequence) {
    auto const found = m_replicas.find(owner);
    if (found == m_replicas.end()) {
        return;
    }
    auto& replicas = found->second;
    auto const end = replicas.upper_bound(last_sequence);
    m_replica_count -= static_cast<std::size_t>(std::distance(replicas.begin(), end));
    replicas.erase(replicas.begin(), end);
    if (replicas.empty()) {
        m_replicas.erase(found);
    }
}

std::optional<account_segment> account_journal::recovery_segment(std::uint64_t owner) const {
    auto const found = m_replicas.find(owner);
    if (found == m_replicas.end()) {
        return std::nullopt;
    }
    account_segment segment;
    segment.owner = owner;
    segment.recovered = true;
    segment.first_sequence = found->second.begin()->first;
    segment.last_sequence = found->second.rbegin()->first;
    for (auto const& [sequence, record] : found->second) {
        segment.records.push_back(record);
    }
    set_time_range(segment);
    return segment;
}

std::vector<std::uint64_t> account_journal::replica_owners() const {
    std::vector<std::uint64_t> result;
    for (auto const& [owner, replicas] : m_replicas) {
        result.push_back(owner);
    }
    return result;
}

} // namespace pomelospread
