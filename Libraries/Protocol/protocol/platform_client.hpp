// Implements the interfaces to the platform over HTTP and JSON. Another platform needs only another adapter
// like this one.
#pragma once

#include "coordination/platform.hpp"
#include "protocol/platform_channel.hpp"

#include <chrono>

namespace pomelospread {

/// Calls the platform over the io_context of one thread. Call from a fiber of that thread.
class platform_client final : public table_service, public instance_registry {
public:
    platform_client(boost::asio::io_context& io, endpoint address, std::chrono::milliseconds timeout);

    [[nodiscard]] table_cell read(std::string_view key) override;
    [[nodiscard]] std::vector<table_cell> list(std::string_view prefix) override;
    void transact(std::span<table_condition const> conditions, std::span<table_write const> writes) override;

    void register_instance(instance_entry const& entry) override;
    void deregister_instance(instance_id id) override;
    [[nodiscard]] std::vector<instance_entry> list_instances() override;

    [[nodiscard]] object_store& objects() noexcept { return m_objects; }

private:
    class object_store_adapter final : public object_store {
    public:
        explicit object_store_adapter(platform_client& client) : m_client(client) {}
        void put(std::string_view name, std::string_view content) override;
        [[nodiscard]] std::optional<std::string> get(std::string_view name) override;
        [[nodiscard]] std::vector<std::string> list(std::string_view prefix) override;

    private:
        platform_client& m_client;
    };

    platform_channel m_channel;
    std::chrono::milliseconds m_timeout;
    object_store_adapter m_objects;
};

/// Percent-encodes a query value (RFC 3986 section 2.1).
[[nodiscard]] std::string percent_encode(std::string_view value);
/// Decodes a query value, with `+` as a space. A `%` without two hexadecimal digits stays as it is.
[[nodiscard]] std::string percent_decode(std::string_view value);
/// The decoded value of `name` in the query of `target`, empty when it is absent.
[[nodiscard]] std::string query_parameter(std::string_view target, std::string_view name);

} // namespace pomelospread
