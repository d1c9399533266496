#include "coordination/entry_checks.hpp"

#include "base/errors.hpp"
#include "base/foreign_text.hpp"

#include <limits>
#include <string>
#include <vector>

namespace pomelospread {

namespace {

/// Collects the problems of one entry.
class entry_checker {
public:
    void check_text(std::string_view field, std::string_view text, std::size_t min_bytes) {
        bool const has_outer_space = text.starts_with(' ') || text.ends_with(' ');
        if (text.size() >= min_bytes && text.size() <= entry_limits::max_text_bytes && !has_outer_space &&
            !has_control_character(text)) {
            return;
        }
        add(field, "\"" + excerpt(text) + "\" is not a name",
            std::to_string(min_bytes) + " to " + std::to_string(entry_limits::max_text_bytes) +
                " bytes without control characters, not beginning or ending with a space");
    }

    void check_number(std::string_view field, std::int64_t value, std::int64_t min, std::int64_t max,
                      std::string const& unit = "") {
        if (value < min || value > max) {
            add(field, std::to_string(value) + unit + " is out of range",
                std::to_string(min) + " to " + std::to_string(max) + unit);
        }
    }

    void check_address(std::string_view field, endpoint const& address) {
        if (!is_ip_address(address.address)) {
            add(field, "\"" + excerpt(address.address) + "\" is not an IP address", "IPv4 or IPv6");
        }
        if (address.port == 0) {
            add(field, "port 0 is out of range", "1 to 65535");
        }
    }

    void throw_if_any() {
        if (!m_problems.empty()) {
            throw invalid_input(std::move(m_problems));
        }
    }

private:
    void add(std::string_view field, std::string problem, std::string allowed) {
        m_problems.push_back(
            {.field = std::string(field), .problem = std::move(problem), .allowed = std::move(allowed)});
    }

    std::vector<field_problem> m_problems;
};

} // namespace

void throw_if_invalid(listed_target const& target, listed_target_field_names const& names) {
    entry_checker checker;
    checker.check_text(names.id, target.id, 1);
    checker.check_text(names.pool, target.pool, 1);
    checker.check_address(names.address, target.address);
    checker.check_text(names.zone, target.zone, 0);
    checker.check_number(names.slots, target.slots, 1, entry_limits::max_slots);
    checker.check_number(names.warm_up_remaining, target.warm_up_remaining_ms, 0,
                         entry_limits::max_warm_up_ms, " ms");
    checker.check_number(names.started, target.started_unix_ms, 0, std::numeric_limits<std::int64_t>::max());
    checker.throw_if_any();
}

void throw_if_invalid(instance_entry const& entry) {
    entry_checker checker;
    checker.check_text("zone", entry.zone, 0);
    checker.check_address("caller_address", entry.caller_address);
    checker.check_address("peer_address", entry.peer_address);
    checker.throw_if_any();
}

} // namespace pomelospread
