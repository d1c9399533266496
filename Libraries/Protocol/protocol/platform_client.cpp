#include "protocol/platform_client.hpp"

#include "protocol/platform_json_codec.hpp"

#include <boost/beast/http.hpp>

#include <cctype>
#include <charconv>

namespace pomelospread {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_platform_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t max_idle_connections = 4;
constexpr auto max_idle_time = std::chrono::seconds(10);

nlohmann::json parse_response(http_response const& response) {
    try {
        return nlohmann::json::parse(response.body());
    } catch (nlohmann::json::exception const& failure) {
        throw platform_unavailable(std::string("the platform's response is not valid JSON: ") +
                                   failure.what());
    }
}

} // namespace

platform_client::platform_client(boost::asio::io_context& io, endpoint address,
                                 std::chrono::milliseconds timeout)
    : m_channel(io, std::move(address),
                {.connect_timeout = timeout,
                 .max_response_bytes = max_platform_body_bytes,
                 .max_idle_connections = max_idle_connections,
                 .max_idle_time = max_idle_time}),
      m_timeout(timeout), m_objects(*this) {}

table_cell platform_client::read(std::string_view key) {
    return table_cell_from_json(
        parse_response(m_channel.get("/table/read?key=" + percent_encode(key), m_timeout)));
}

std::vector<table_cell> platform_client::list(std::string_view prefix) {
    std::vector<table_cell> cells;
    for (auto const& document :
         parse_response(m_channel.get("/table/list?prefix=" + percent_encode(prefix), m_timeout))) {
        cells.push_back(table_cell_from_json(document));
    }
    return cells;
}

void platform_client::transact(std::span<table_condition const> conditions,
                               std::span<table_write const> writes) {
    nlohmann::json document{{"conditions", nlohmann::json::array()}, {"writes", nlohmann::json::array()}};
    for (auto const& condition : conditions) {
        document["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (auto const& write : writes) {
        document["writes"].push_back({{"key", write.key}, {"value", write.value}});
    }
    auto const response = m_channel.call(http::verb::post, "/table/transact", document.dump(), m_timeout);
    if (response.result_int() == 409) {
        throw version_conflict(response.body());
    }
    if (response.result_int() != 200) {
        throw platform_unavailable("the platform refused the transaction: " + response.body());
    }
}

void platform_client::register_instance(instance_entry const& entry) {
    m_channel.call(http::verb::put, "/instances?id=" + format_instance_id(entry.id), to_json(entry).dump(),
                   m_timeout);
}

void platform_client::deregister_instance(instance_id id) {
    m_channel.call(http::verb::delete_, "/instances?id=" + format_instance_id(id), "", m_timeout);
}

std::vector<instance_entry> platform_client::list_instances() {
    std::vector<instance_entry> entries;
    for (auto const& document : parse_response(m_channel.get("/instances", m_timeout))) {
        entries.push_back(instance_entry_from_json(document));
    }
    return entries;
}

void platform_client::object_store_adapter::put(std::string_view name, std::string_view content) {
    auto const response = m_client.m_channel.call(http::verb::put, "/objects?name=" + percent_encode(name),
                                                  std::string(content), m_client.m_timeout);
    if (response.result_int() != 200) {
        throw platform_unavailable("the object store refused the write: " + response.body());
    }
}

std::optional<std::string> platform_client::object_store_adapter::get(std::string_view name) {
    auto response = m_client.m_channel.get("/objects?name=" + percent_encode(name), m_client.m_timeout);
    if (response.result_int() == 404) {
        return std::nullopt;
    }
    if (response.result_int() != 200) {
        throw platform_unavailable("the object store responded with status " +
                                   std::to_string(response.result_int()));
    }
    return std::move(response.body());
}

std::vector<std::string> platform_client::object_store_adapter::list(std::string_view prefix) {
    auto const response =
        m_client.m_channel.get("/objects/list?prefix=" + percent_encode(prefix), m_client.m_timeout);
    auto const names = parse_response(response);
    try {
        return names.get<std::vector<std::string>>();
    } catch (nlohmann::json::exception const& failure) {
        throw malformed_message(failure.what());
    }
}

std::string percent_encode(std::string_view value) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string text;
    for (char const c : value) {
        auto const byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~' || c == '/') {
            text += c;
            continue;
        }
        text += '%';
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::string percent_decode(std::string_view value) {
    std::string text;
    for (std::size_t i = 0; i < value.size(); ++i) {
        unsigned byte = 0;
        if (value[i] == '%' && i + 2 < value.size() &&
            std::from_chars(value.data() + i + 1, value.data() + i + 3, byte, 16).ptr ==
                value.data() + i + 3) {
            text += static_cast<char>(byte);
            i += 2;
            continue;
        }
        text += value[i] == '+' ? ' ' : value[i];
    }
    return text;
}

std::string query_parameter(std::string_view target, std::string_view name) {
    auto const query_start = target.find('?');
    auto rest = query_start == std::string_view::npos ? std::string_view() : target.substr(query_start + 1);
    while (!rest.empty()) {
        auto const pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : percent_decode(pair.substr(equals + 1));
        }
    }
    return {};
}

} // namespace pomelospread
