// A platform in memory, for `--platform=embedded`, the stand-ins and the tests.
#pragma once

#include "coordination/platform.hpp"

#include <map>
#include <mutex>

namespace pomelospread {

/// Implements all three platform interfaces with maps. Thread-safe; the data is lost when the process ends.
class in_memory_platform final : public table_service, public instance_registry {
public:
    [[nodiscard]] table_cell read(std::string_view key) override;
    [[nodiscard]] std::vector<table_cell> list(std::string_view prefix) override;
    void transact(std::span<table_condition const> conditions, std::span<table_write const> writes) override;

    void register_instance(instance_entry const& entry) override;
    void deregister_instance(instance_id id) override;
    [[nodiscard]] std::vector<instance_entry> list_instances() override;

    /// The object store of the same platform.
    [[nodiscard]] object_store& objects() noexcept { return m_objects; }

private:
    class in_memory_object_store final : public object_store {
    public:
        void put(std::string_view name, std::string_view content) override;
        [[nodiscard]] std::optional<std::string> get(std::string_view name) override;
        [[nodiscard]] std::vector<std::string> list(std::string_view prefix) override;

    private:
        std::mutex m_mutex;
        std::map<std::string, std::string, std::less<>> m_objects;
    };

    std::mutex m_mutex;
    std::map<std::string, table_cell, std::less<>> m_cells;
    std::map<instance_id, instance_entry> m_instances;
    in_memory_object_store m_objects;
};

} // namespace pomelospread
