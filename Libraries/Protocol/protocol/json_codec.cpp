#include "protocol/json_codec.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace pomelospread {

nlohmann::json to_json(table_cell const& cell) {
    return {{"key", cell.key}, {"version", cell.version}, {"value", cell.value}};
}

nlohmann::json to_json(instance_entry const& entry) {
    return {{"id", format_instance(entry.id)},
            {"zone", entry.zone},
            {"caller_address", to_string(entry.caller_address)},
            {"peer_address", to_string(entry.peer_address)},
            {"admin_address", to_string(entry.admin_address)},
            {"leaving", entry.leaving}};
}

table_cell cell_from_json(nlohmann::json const& document) {
    return {.key = document.at("key").get<std::string>(),
            .version = document.at("version").get<std::uint64_t>(),
            .value = document.at("value").get<std::string>()};
}

instance_entry entry_from_json(nlohmann::json const& document) {
    return {.id = parse_instance(document.at("id").get<std::string>()),
            .zone = document.at("zone").get<std::string>(),
            .caller_address =
                parse_endpoint(document.at("caller_address").get<std::string>(), "caller_address"),
            .peer_address = parse_endpoint(document.at("peer_address").get<std::string>(), "peer_address"),
            .admin_address = parse_endpoint(document.at("admin_address").get<std::string>(), "admin_address"),
            .leaving = document.at("leaving").get<bool>()};
}

std::string format_instance(instance_id id) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
    return text.data();
}

instance_id parse_instance(std::string_view text) {
    instance_id id = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || id == 0) {
        throw invalid_input({{.field = "instance",
                              .problem = "\"" + std::string(text) + "\" is not an instance",
                              .allowed = "1 to 16 hexadecimal digits, not all zero"}});
    }
    return id;
}

} // namespace pomelospread
