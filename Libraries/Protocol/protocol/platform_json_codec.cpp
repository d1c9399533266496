#include "protocol/platform_json_codec.hpp"

#include "base/foreign_text.hpp"

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>

namespace pomelospread {

namespace {

/// Calls `read`; turns the failures of a document that has another form into `malformed_message`.
template<class Value, class Read>
Value decode_fields(Read&& read) {
    try {
        return read();
    } catch (nlohmann::json::exception const& failure) {
        throw malformed_message(failure.what());
    } catch (invalid_input const& failure) {
        throw malformed_message(failure.what());
    }
}

/// An absent field stands for a whole core.
std::uint32_t processor_permille_field(nlohmann::json const& document) {
    auto const found = document.find("processor_permille");
    if (found == document.end()) {
        return 1000;
    }
    constexpr std::uint64_t max = std::numeric_limits<std::uint32_t>::max();
    if (!found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
        throw invalid_input({{.field = "processor_permille",
                              .problem = "not a whole number in its range",
                              .allowed = "0 to " + std::to_string(max)}});
    }
    return found->get<std::uint32_t>();
}

} // namespace

nlohmann::json to_json(table_cell const& cell) {
    return {{"key", cell.key}, {"version", cell.version}, {"value", cell.value}};
}

nlohmann::json to_json(instance_entry const& entry) {
    return {{"id", format_instance_id(entry.id)},
            {"zone", entry.zone},
            {"caller_address", to_string(entry.caller_address)},
            {"peer_address", to_string(entry.peer_address)},
            {"admin_address", to_string(entry.admin_address)},
            {"leaving", entry.leaving},
            {"processor_permille", entry.processor_permille}};
}

table_cell table_cell_from_json(nlohmann::json const& document) {
    return decode_fields<table_cell>([&] {
        return table_cell{.key = document.at("key").get<std::string>(),
                          .version = document.at("version").get<std::uint64_t>(),
                          .value = document.at("value").get<std::string>()};
    });
}

instance_entry instance_entry_from_json(nlohmann::json const& document) {
    auto const address = [&](char const* name) {
        return parse_endpoint(document.at(name).get<std::string>(), name);
    };
    return decode_fields<instance_entry>([&] {
        return instance_entry{.id = parse_instance_id(document.at("id").get<std::string>()),
                              .zone = document.at("zone").get<std::string>(),
                              .caller_address = address("caller_address"),
                              .peer_address = address("peer_address"),
                              .admin_address = address("admin_address"),
                              .leaving = document.at("leaving").get<bool>(),
                              .processor_permille = processor_permille_field(document)};
    });
}

std::string format_instance_id(instance_id id) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(id));
    return text.data();
}

instance_id parse_instance_id(std::string_view text) {
    instance_id id = 0;
    auto const result = std::from_chars(text.data(), text.data() + text.size(), id, 16);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || id == 0) {
        throw invalid_input({{.field = "instance",
                              .problem = "\"" + excerpt(text) + "\" is not an instance",
                              .allowed = "1 to 16 hexadecimal digits, not all zero"}});
    }
    return id;
}

} // namespace pomelospread
