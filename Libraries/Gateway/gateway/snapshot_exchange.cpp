#include "gateway/snapshot_exchange.hpp"

#include "base/errors.hpp"
#include "protocol/platform_client.hpp"

#include <charconv>

namespace pomelospread {

namespace {

constexpr std::size_t max_snapshot_bytes = std::size_t{16} * 1024 * 1024;

/// A number in the query; an absent one is 0.
std::uint64_t number_parameter(std::string_view request_target, std::string_view name) {
    auto const text = query_parameter(request_target, name);
    std::uint64_t value = 0;
    auto const end = text.data() + text.size();
    if (auto const parsed = std::from_chars(text.data(), end, value);
        !text.empty() && (parsed.ec != std::errc() || parsed.ptr != end)) {
        throw invalid_input({{.field = std::string(name),
                              .problem = "\"" + text + "\" is not a number of 64 bits",
                              .allowed = "0 to 18446744073709551615"}});
    }
    return value;
}

} // namespace

std::string to_request_target(snapshot_request const& request) {
    return std::string(snapshot_exchange::path) + "?tables=" + std::to_string(request.tables.version) +
           "&tables_era=" + std::to_string(request.tables.era) +
           "&tables_digest=" + std::to_string(request.tables.digest) +
           "&targets=" + std::to_string(request.target_list_version.number) +
           "&targets_era=" + std::to_string(request.target_list_version.era) +
           "&members=" + (request.with_members ? "1" : "0") + "&zone=" + request.zone;
}

snapshot_request parse_snapshot_request(std::string_view request_target) {
    return {.tables = {.version = number_parameter(request_target, "tables"),
                       .era = number_parameter(request_target, "tables_era"),
                       .digest = number_parameter(request_target, "tables_digest")},
            .target_list_version = {.era = number_parameter(request_target, "targets_era"),
                                    .number = number_parameter(request_target, "targets")},
            .with_members = query_parameter(request_target, "members") != "0",
            .zone = query_parameter(request_target, "zone")};
}

snapshot_exchange::snapshot_exchange(connection_cache& connections, std::string own_zone, metrics& counters,
                                     snapshot_source make_snapshot)
    : m_connections(connections), m_own_zone(std::move(own_zone)), m_counters(counters),
      m_make_snapshot(std::move(make_snapshot)) {}

peer_snapshot snapshot_exchange::fetch(endpoint const& peer, snapshot_request const& request) {
    auto const deadline = std::chrono::steady_clock::now() + fetch_timeout;
    auto connection = m_connections.acquire_idle(peer);
    if (connection == nullptr) {
        connection = m_connections.open(peer, deadline);
    }
    http_request message(boost::beast::http::verb::get, to_request_target(request), 11);
    set_header_field(message, "Host", to_string(peer));
    auto const response = connection->exchange(message, max_snapshot_bytes, deadline);
    m_connections.release(peer, std::move(connection));
    return decode_snapshot(response.body());
}

http_response snapshot_exchange::handle(http_request const& request) const {
    std::string_view const target(request.target().data(), request.target().size());
    try {
        auto const wanted = parse_snapshot_request(target);
        auto body = encode_snapshot(m_make_snapshot(wanted));
        m_counters.add(wanted.zone == m_own_zone ? counter::snapshot_bytes_own_zone
                                                 : counter::snapshot_bytes_other_zones,
                       body.size());
        return make_response(200, "application/octet-stream", std::move(body));
    } catch (invalid_input const& failure) {
        return make_response(400, "text/plain", failure.what());
    }
}

} // namespace pomelospread
