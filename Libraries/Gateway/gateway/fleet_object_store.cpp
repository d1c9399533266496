#include "gateway/fleet_object_store.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "protocol/platform_client.hpp"

namespace pomelospread {

namespace {

/// The collector's window and a slow call to the platform.
constexpr auto submit_timeout = std::chrono::milliseconds(3500);
constexpr std::size_t max_response_bytes = 4096;

} // namespace

void fleet_object_store::put(std::string_view name, std::string_view content) {
    if (m_plan.collects_objects()) {
        m_collector.put(std::string(name), std::string(content));
        return;
    }
    auto const collector = m_plan.object_collector();
    if (!collector || !submit(*collector, name, content)) {
        m_platform.put(name, content);
    }
}

bool fleet_object_store::submit(endpoint const& collector, std::string_view name, std::string_view content) {
    http_response response;
    try {
        auto const deadline = std::chrono::steady_clock::now() + submit_timeout;
        auto connection = m_connections.acquire_idle(collector);
        if (connection == nullptr) {
            connection = m_connections.open(collector, deadline);
        }
        http_request request(boost::beast::http::verb::put, std::string(path) + "?name=" + std::string(name),
                             11);
        set_header_field(request, "Host", to_string(collector));
        request.body() = content;
        request.prepare_payload();
        response = connection->exchange(request, max_response_bytes, deadline);
        m_connections.release(collector, std::move(connection));
    } catch (error const& failure) {
        log_line(log_level::info, "collector_unreachable")
            .field("peer", to_string(collector))
            .field("reason", failure.what())
            .write();
        return false;
    }
    if (response.result_int() == 503) {
        throw platform_unavailable(response.body());
    }
    return response.result_int() == 200;
}

http_response fleet_object_store::handle(http_request& request) {
    std::string_view const target(request.target().data(), request.target().size());
    auto name = query_parameter(target, "name");
    if (name.empty()) {
        return make_response(400, "text/plain", "name: is empty; allowed: the name of an object");
    }
    try {
        m_collector.put(std::move(name), std::move(request.body()));
        return make_response(200, "text/plain", "");
    } catch (platform_unavailable const& failure) {
        return make_response(503, "text/plain", failure.what());
    }
}

} // namespace pomelospread
