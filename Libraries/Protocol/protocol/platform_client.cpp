#include "protocol/platform_client.hpp"

#include "protocol/json_codec.hpp"

#include <boost/beast/http.hpp>

#include <cctype>
#include <charconv>

namespace pomelospread {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_platform_body_bytes = std::size_t{64} * 1024 * 1024;
constexpr std::size_t max_idle_connections = 4;
constexpr auto max_idle_time = std::chrono::seconds(10);

nlohmann::json parse_answer(http_response const& response) {
    try {
        return nlohmann::json::parse(response.body());
    } catch (nlohmann::json::exception const& failure) {
        throw platform_unavailable(std::string("the platform's answer cannot be read: ") + failure.what());
    }
}

} // namespace

platform_client::platform_client(boost::asio::io_context& io, endpoint address,
                                 std::chrono::milliseconds timeout)
    : m_address(std::move(address)), m_timeout(timeout),
      m_connections(io, max_idle_connections, max_idle_time), m_objects(*this) {}

http_response platform_client::call(http::verb method, std::string const& target, std::string body) {
    auto const deadline = std::chrono::steady_clock::now() + m_timeout;
    http_request request(method, target, 11);
    set_field(request, "Host", to_string(m_address));
    request.body() = std::move(body);
    request.prepare_payload();
    try {
        auto connection = m_connections.take_idle(m_address);
        if (connection == nullptr) {
            connection = m_connections.open(m_address, deadline);
        }
        auto response = connection->exchange(request, max_platform_body_bytes, deadline);
        m_connections.give_back(m_address, std::move(connection));
        if (response.result_int() == 503) {
            throw platform_unavailable("the platform refused: it has an outage");
        }
        return response;
    } catch (connect_failed const& failure) {
        throw platform_unavailable(failure.what());
    } catch (exchange_incomplete const& failure) {
        m_connections.drop(m_address);
        throw platform_outcome_unknown(failure.what());
    } catch (deadline_exceeded const& failure) {
        m_connections.drop(m_address);
        throw platform_outcome_unknown(std::string("no answer from the platform in time: ") + failure.what());
    }
}

http_response platform_client::read_call(std::string const& target) {
    try {
        return call(http::verb::get, target);
    } catch (platform_outcome_unknown const& failure) {
        throw platform_unavailable(failure.what());
    }
}

table_cell platform_client::read(std::string_view key) {
    return cell_from_json(parse_answer(read_call("/table/read?key=" + encode_query(key))));
}

std::vector<table_cell> platform_client::list(std::string_view prefix) {
    std::vector<table_cell> cells;
    for (auto const& document : parse_answer(read_call("/table/list?prefix=" + encode_query(prefix)))) {
        cells.push_back(cell_from_json(document));
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
    auto const response = call(http::verb::post, "/table/transact", document.dump());
    if (response.result_int() == 409) {
        throw version_conflict(response.body());
    }
    if (response.result_int() != 200) {
        throw platform_unavailable("the platform refused the transaction: " + response.body());
    }
}

void platform_client::announce(instance_entry const& entry) {
    call(http::verb::put, "/instances?id=" + format_instance(entry.id), to_json(entry).dump());
}

void platform_client::withdraw(instance_id id) {
    call(http::verb::delete_, "/instances?id=" + format_instance(id));
}

std::vector<instance_entry> platform_client::read() {
    std::vector<instance_entry> entries;
    for (auto const& document : parse_answer(read_call("/instances"))) {
        entries.push_back(entry_from_json(document));
    }
    return entries;
}

void platform_client::object_half::put(std::string_view name, std::string_view content) {
    auto const response =
        m_client.call(http::verb::put, "/objects?name=" + encode_query(name), std::string(content));
    if (response.result_int() != 200) {
        throw platform_unavailable("the object store refused: " + response.body());
    }
}

std::optional<std::string> platform_client::object_half::get(std::string_view name) {
    auto response = m_client.read_call("/objects?name=" + encode_query(name));
    if (response.result_int() == 404) {
        return std::nullopt;
    }
    return std::move(response.body());
}

std::vector<std::string> platform_client::object_half::list(std::string_view prefix) {
    auto const response = m_client.read_call("/objects/list?prefix=" + encode_query(prefix));
    return parse_answer(response).get<std::vector<std::string>>();
}

std::string encode_query(std::string_view value) {
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

std::string decode_query(std::string_view value) {
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

std::string query_value(std::string_view target, std::string_view name) {
    auto const question = target.find('?');
    auto rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        auto const pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        auto const equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : decode_query(pair.substr(equals + 1));
        }
    }
    return {};
}

} // namespace pomelospread
