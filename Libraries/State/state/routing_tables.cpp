#include "state/routing_tables.hpp"

#include <algorithm>
#include <set>

namespace pomelospread {

namespace {

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= routing_table_limits::max_name_characters &&
           std::ranges::all_of(text, is_name_character);
}

class tables_checker {
public:
    explicit tables_checker(routing_tables const& tables) : m_tables(tables) {}

    std::vector<field_problem> run() {
        for (auto const& pool : m_tables.pools) {
            check_pool(pool);
        }
        for (auto const& route : m_tables.routes) {
            check_route(route);
        }
        return std::move(m_problems);
    }

private:
    void add_problem(std::string field, std::string problem, std::string allowed) {
        m_problems.push_back(
            {.field = std::move(field), .problem = std::move(problem), .allowed = std::move(allowed)});
    }

    void check_integer(std::string const& row, std::string_view field, std::int64_t value, std::int64_t low,
                       std::int64_t high) {
        if (value < low || value > high) {
            add_problem(row + "." + std::string(field), std::to_string(value) + " is out of range",
                        std::to_string(low) + " to " + std::to_string(high));
        }
    }

    void check_name(std::string const& kind, std::string const& name, std::set<std::string>& seen) {
        if (!is_name(name)) {
            add_problem(kind + ".name", "\"" + name + "\" is not a name",
                        "1 to 64 characters of a-z, 0-9, '-' and '_'");
        }
        if (!seen.insert(name).second) {
            add_problem(kind + ".name", "\"" + name + "\" stands twice", "each name once");
        }
    }

    void check_pool(pool_row const& pool) {
        check_name("pool", pool.name, m_pool_names);
        auto const row = "pool \"" + pool.name + "\"";
        check_integer(row, "slots_per_target", pool.slots_per_target, 1,
                      routing_table_limits::max_slots_per_target);
        check_integer(row, "connections_per_target", pool.connections_per_target, 1,
                      routing_table_limits::max_connections_per_target);
        check_integer(row, "homes", pool.homes, 0, routing_table_limits::max_homes);
        std::set<endpoint> addresses;
        for (auto const& target : pool.targets) {
            check_target(row, target, addresses);
        }
    }

    void check_target(std::string const& row, target_row const& target, std::set<endpoint>& addresses) {
        if (target.address.port == 0) {
            add_problem(row + ".target.address", to_string(target.address) + " has port 0",
                        "port 1 to 65535");
        }
        if (!is_name(target.zone)) {
            add_problem(row + ".target.zone", "\"" + target.zone + "\" is not a name",
                        "1 to 64 characters of a-z, 0-9, '-' and '_'");
        }
        if (!addresses.insert(target.address).second) {
            add_problem(row + ".target.address", to_string(target.address) + " stands twice",
                        "each address once");
        }
    }

    void check_route(route_row const& route) {
        check_name("route", route.name, m_route_names);
        auto const row = "route \"" + route.name + "\"";
        if (!route.path_prefix.starts_with('/') || route.path_prefix.starts_with("/.pomelospread")) {
            add_problem(row + ".path_prefix", "\"" + route.path_prefix + "\" is not allowed",
                        "begins with '/', but not with '/.pomelospread'");
        }
        check_integer(row, "deadline_ms", route.deadline.count(), 1, routing_table_limits::max_deadline_ms);
        check_integer(row, "customer_concurrency", route.customer_concurrency, 1,
                      routing_table_limits::max_customer_concurrency);
        if (m_tables.find_pool(route.pool) == nullptr) {
            add_problem(row + ".pool", "no pool has the name \"" + route.pool + "\"",
                        "the name of a pool row");
        }
        check_methods(row, route);
    }

    void check_methods(std::string const& row, route_row const& route) {
        static std::set<std::string> const s_known{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"};
        if (route.methods.empty()) {
            add_problem(row + ".methods", "is empty", "at least one of GET, HEAD, POST, PUT, PATCH, DELETE");
        }
        for (auto const& method : route.methods) {
            if (!s_known.contains(method)) {
                add_problem(row + ".methods", "\"" + method + "\" is not a method",
                            "GET, HEAD, POST, PUT, PATCH, DELETE");
            }
            if (!m_methods_and_prefixes.emplace(method, route.path_prefix).second) {
                add_problem(row + ".path_prefix", "another route has the same prefix and method " + method,
                            "each pair of prefix and method once");
            }
        }
    }

    routing_tables const& m_tables;
    std::set<std::string> m_pool_names;
    std::set<std::string> m_route_names;
    std::set<std::pair<std::string, std::string>> m_methods_and_prefixes;
    std::vector<field_problem> m_problems;
};

bool matches_prefix(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/' ||
           path[prefix.size()] == '?';
}

} // namespace

route_row const* routing_tables::find_route(std::string_view method, std::string_view path) const noexcept {
    route_row const* best = nullptr;
    for (auto const& route : routes) {
        if (!matches_prefix(path, route.path_prefix) ||
            std::ranges::find(route.methods, method) == route.methods.end()) {
            continue;
        }
        if (best == nullptr || route.path_prefix.size() > best->path_prefix.size()) {
            best = &route;
        }
    }
    return best;
}

pool_row const* routing_tables::find_pool(std::string_view name) const noexcept {
    auto const found = std::ranges::find_if(pools, [&](pool_row const& pool) { return pool.name == name; });
    return found == pools.end() ? nullptr : &*found;
}

std::int64_t home_count(pool_row const& pool) noexcept {
    if (pool.homes > 0) {
        return pool.homes;
    }
    auto const slots = pool.slots_per_target * static_cast<std::int64_t>(pool.targets.size());
    return slots <= routing_table_limits::max_slots_for_single_home ? 1 : 2;
}

std::vector<field_problem> check_tables(routing_tables const& tables) {
    return tables_checker(tables).run();
}

void throw_if_invalid(routing_tables const& tables) {
    auto problems = check_tables(tables);
    if (!problems.empty()) {
        throw invalid_input(std::move(problems));
    }
}

} // namespace pomelospread
