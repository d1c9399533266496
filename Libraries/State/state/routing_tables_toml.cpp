#include "state/routing_tables_toml.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace pomelospread {

namespace {

/// File name and line of each row, by the row's path (for example `pool "fees-ledger"`). They are added to
/// the problems that `check_tables` finds.
using row_locations = std::map<std::string, std::pair<std::string, std::size_t>>;

class file_reader {
public:
    file_reader(source_file const& file, std::vector<field_problem>& problems, row_locations& locations)
        : m_file(file), m_problems(problems), m_locations(locations) {}

    void read_routes(routing_tables& tables) {
        for_each_row("route", [&](toml::table const& row, std::string const& row_path) {
            tables.routes.push_back(read_route(row, row_path));
        });
    }

    void read_pools(routing_tables& tables) {
        for_each_row("pool", [&](toml::table const& row, std::string const& row_path) {
            tables.pools.push_back(read_pool(row, row_path));
        });
    }

private:
    void add_problem(std::size_t line, std::string field, std::string problem, std::string allowed) {
        m_problems.push_back({.file = m_file.name,
                              .line = line,
                              .field = std::move(field),
                              .problem = std::move(problem),
                              .allowed = std::move(allowed)});
    }

    template<class Read>
    void for_each_row(std::string const& kind, Read read) {
        auto const document = parse();
        if (!document) {
            return;
        }
        check_field_names(*document, m_file.name, {kind});
        auto const* node = document->get(kind);
        if (node == nullptr) {
            return;
        }
        auto const* rows = node->as_array();
        if (rows == nullptr) {
            add_problem(node->source().begin.line, kind, "is not an array of tables", "[[" + kind + "]]");
            return;
        }
        for (auto const& element : *rows) {
            auto const* row = element.as_table();
            if (row == nullptr) {
                add_problem(element.source().begin.line, kind, "is not a table", "[[" + kind + "]]");
                continue;
            }
            auto const row_path = kind + " \"" + (*row)["name"].value_or(std::string()) + "\"";
            m_locations.emplace(row_path, std::pair(m_file.name, row->source().begin.line));
            read(*row, row_path);
        }
    }

    std::optional<toml::table> parse() {
        try {
            return toml::parse(m_file.text, m_file.name);
        } catch (toml::parse_error const& failure) {
            add_problem(failure.source().begin.line, "syntax", std::string(failure.description()),
                        "TOML 1.0");
            return std::nullopt;
        }
    }

    void check_field_names(toml::table const& row, std::string const& row_path,
                           std::set<std::string> const& known) {
        for (auto const& [key, node] : row) {
            if (known.contains(std::string(key.str()))) {
                continue;
            }
            std::string allowed;
            for (auto const& name : known) {
                allowed += (allowed.empty() ? "" : ", ") + name;
            }
            add_problem(node.source().begin.line, row_path + "." + std::string(key.str()), "no such field",
                        allowed);
        }
    }

    template<class Value>
    void read_field(toml::table const& row, std::string const& row_path, char const* name, Value& result,
                    bool required, char const* type) {
        auto const* node = row.get(name);
        if (node == nullptr) {
            if (required) {
                add_problem(row.source().begin.line, row_path + "." + name, "is missing", type);
            }
            return;
        }
        if (auto const value = node->value<Value>(); value) {
            result = *value;
            return;
        }
        add_problem(node->source().begin.line, row_path + "." + name, "has the wrong type", type);
    }

    route_row read_route(toml::table const& row, std::string const& row_path) {
        check_field_names(row, row_path,
                          {"name", "path_prefix", "methods", "pool", "idempotent", "deadline_ms", "hedge",
                           "customer_concurrency"});
        route_row route;
        std::int64_t deadline_ms = route.deadline.count();
        read_field(row, row_path, "name", route.name, true, "string");
        read_field(row, row_path, "path_prefix", route.path_prefix, true, "string");
        read_field(row, row_path, "pool", route.pool, true, "string");
        read_field(row, row_path, "idempotent", route.idempotent, true, "true or false");
        read_field(row, row_path, "deadline_ms", deadline_ms, false, "integer, milliseconds");
        read_field(row, row_path, "hedge", route.hedge, false, "true or false");
        read_field(row, row_path, "customer_concurrency", route.customer_concurrency, false, "integer");
        route.deadline = std::chrono::milliseconds(deadline_ms);
        read_methods(row, row_path, route);
        return route;
    }

    void read_methods(toml::table const& row, std::string const& row_path, route_row& route) {
        auto const* list = row.get_as<toml::array>("methods");
        if (list == nullptr) {
            add_problem(row.source().begin.line, row_path + ".methods", "is missing or not a list",
                        "list of strings");
            return;
        }
        for (auto const& element : *list) {
            // `check_tables` rejects the placeholder.
            route.methods.push_back(element.value_or(std::string("(not a string)")));
        }
    }

    pool_row read_pool(toml::table const& row, std::string const& row_path) {
        check_field_names(row, row_path,
                          {"name", "slots_per_target", "connections_per_target", "homes", "target"});
        pool_row pool;
        read_field(row, row_path, "name", pool.name, true, "string");
        read_field(row, row_path, "slots_per_target", pool.slots_per_target, true, "integer");
        read_field(row, row_path, "connections_per_target", pool.connections_per_target, false, "integer");
        read_field(row, row_path, "homes", pool.homes, false, "integer");
        if (auto const* targets = row.get_as<toml::array>("target"); targets != nullptr) {
            for (auto const& element : *targets) {
                read_target(element, row_path, pool);
            }
        } else if (row.get("target") != nullptr) {
            add_problem(row.get("target")->source().begin.line, row_path + ".target",
                        "is not an array of tables", "[[pool.target]]");
        }
        return pool;
    }

    void read_target(toml::node const& element, std::string const& pool_path, pool_row& pool) {
        auto const row_path = pool_path + ".target";
        auto const* row = element.as_table();
        if (row == nullptr) {
            add_problem(element.source().begin.line, row_path, "is not a table", "[[pool.target]]");
            return;
        }
        check_field_names(*row, row_path, {"address", "zone", "leaving"});
        target_row target;
        std::string address;
        read_field(*row, row_path, "address", address, true, "string");
        read_field(*row, row_path, "zone", target.zone, true, "string");
        read_field(*row, row_path, "leaving", target.leaving, false, "true or false");
        try {
            target.address = parse_endpoint(address, row_path + ".address");
        } catch (invalid_input const& failure) {
            auto problem = failure.problems().front();
            add_problem(row->source().begin.line, problem.field, problem.problem, problem.allowed);
            return;
        }
        pool.targets.push_back(std::move(target));
    }

    source_file const& m_file;
    std::vector<field_problem>& m_problems;
    row_locations& m_locations;
};

void add_row_locations(std::vector<field_problem>& problems, row_locations const& locations) {
    for (auto& problem : problems) {
        auto const row = problem.field.substr(0, problem.field.rfind("\".") + 1);
        if (auto const found = locations.find(row); found != locations.end()) {
            problem.file = found->second.first;
            problem.line = found->second.second;
        }
    }
}

std::string quoted(std::string_view text) {
    std::ostringstream stream;
    stream << toml::value<std::string>(std::string(text));
    return stream.str();
}

template<class Row>
std::vector<Row> sorted_by_name(std::vector<Row> rows) {
    std::ranges::sort(rows, {}, &Row::name);
    return rows;
}

} // namespace

routing_tables parse_tables(source_file const& routes, source_file const& pools) {
    routing_tables result;
    std::vector<field_problem> problems;
    row_locations locations;
    file_reader(routes, problems, locations).read_routes(result);
    file_reader(pools, problems, locations).read_pools(result);
    if (problems.empty()) {
        problems = check_tables(result);
        add_row_locations(problems, locations);
    }
    if (!problems.empty()) {
        throw invalid_input(std::move(problems));
    }
    return result;
}

std::string format_routes(routing_tables const& tables) {
    std::ostringstream text;
    for (auto const& route : sorted_by_name(tables.routes)) {
        text << "[[route]]\nname = " << quoted(route.name) << "\npath_prefix = " << quoted(route.path_prefix)
             << "\nmethods = [";
        for (std::size_t i = 0; i < route.methods.size(); ++i) {
            text << (i == 0 ? "" : ", ") << quoted(route.methods[i]);
        }
        text << "]\npool = " << quoted(route.pool)
             << "\nidempotent = " << (route.idempotent ? "true" : "false")
             << "\ndeadline_ms = " << route.deadline.count()
             << "\nhedge = " << (route.hedge ? "true" : "false")
             << "\ncustomer_concurrency = " << route.customer_concurrency << "\n\n";
    }
    return text.str();
}

std::string format_pools(routing_tables const& tables) {
    std::ostringstream text;
    for (auto const& pool : sorted_by_name(tables.pools)) {
        text << "[[pool]]\nname = " << quoted(pool.name) << "\nslots_per_target = " << pool.slots_per_target
             << "\nconnections_per_target = " << pool.connections_per_target << "\nhomes = " << pool.homes
             << "\n";
        auto targets = pool.targets;
        std::ranges::sort(targets);
        for (auto const& target : targets) {
            text << "[[pool.target]]\naddress = " << quoted(to_string(target.address))
                 << "\nzone = " << quoted(target.zone)
                 << "\nleaving = " << (target.leaving ? "true" : "false") << "\n";
        }
        text << "\n";
    }
    return text.str();
}

} // namespace pomelospread
