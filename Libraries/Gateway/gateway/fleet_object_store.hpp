// The object store as an instance of a large fleet uses it: through the collector of its zone.
#pragma once

#include "coordination/distribution_plan.hpp"
#include "gateway/object_collector.hpp"
#include "protocol/http_connection.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// Used on one thread; `put` suspends the calling fiber. Until the platform has stored an object, the
/// instance that submitted it keeps it: the loss of a collector costs no object of others. When a collector's
/// response is lost, the object is stored once more, alone; readers merge both.
class fleet_object_store final : public object_store {
public:
    fleet_object_store(object_store& platform, object_collector& collector, connection_cache& connections,
                       distribution_plan const& plan)
        : m_platform(platform), m_collector(collector), m_connections(connections), m_plan(plan) {}

    /// Submits the object to the collector of this zone, and stores it directly when that one does not
    /// answer.
    void put(std::string_view name, std::string_view content) override;
    [[nodiscard]] std::optional<std::string> get(std::string_view name) override {
        return m_platform.get(name);
    }
    [[nodiscard]] std::vector<std::string> list(std::string_view prefix) override {
        return m_platform.list(prefix);
    }

    /// Answers a request of another instance's `put`.
    [[nodiscard]] http_response handle(http_request& request);

    static constexpr std::string_view path = "/objects";

private:
    /// Returns whether the collector answered. Throws `platform_unavailable` when it could not store the
    /// object.
    [[nodiscard]] bool submit(endpoint const& collector, std::string_view name, std::string_view content);

    object_store& m_platform;
    object_collector& m_collector;
    connection_cache& m_connections;
    distribution_plan const& m_plan;
};

} // namespace pomelospread
