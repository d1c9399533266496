#include "coordination/in_memory_platform.hpp"

namespace pomelospread {

table_cell in_memory_platform::read(std::string_view key) {
    std::lock_guard const lock(m_mutex);
    auto const found = m_cells.find(key);
    return found == m_cells.end() ? table_cell{.key = std::string(key), .version = 0, .value = {}}
                                  : found->second;
}

std::vector<table_cell> in_memory_platform::list(std::string_view prefix) {
    std::lock_guard const lock(m_mutex);
    std::vector<table_cell> result;
    for (auto it = m_cells.lower_bound(prefix); it != m_cells.end() && it->first.starts_with(prefix); ++it) {
        result.push_back(it->second);
    }
    return result;
}

void in_memory_platform::transact(std::span<table_condition const> conditions,
                                  std::span<table_write const> writes) {
    std::lock_guard const lock(m_mutex);
    for (auto const& condition : conditions) {
        auto const found = m_cells.find(condition.key);
        auto const version = found == m_cells.end() ? 0 : found->second.version;
        if (version != condition.version) {
            throw version_conflict(condition.key + " is at version " + std::to_string(version));
        }
    }
    for (auto const& write : writes) {
        auto& cell = m_cells[write.key];
        cell = {.key = write.key, .version = cell.version + 1, .value = write.value};
    }
}

void in_memory_platform::register_instance(instance_entry const& entry) {
    std::lock_guard const lock(m_mutex);
    m_instances[entry.id] = entry;
}

void in_memory_platform::deregister_instance(instance_id id) {
    std::lock_guard const lock(m_mutex);
    m_instances.erase(id);
}

std::vector<instance_entry> in_memory_platform::list_instances() {
    std::lock_guard const lock(m_mutex);
    std::vector<instance_entry> result;
    for (auto const& [id, entry] : m_instances) {
        result.push_back(entry);
    }
    return result;
}

void in_memory_platform::in_memory_object_store::put(std::string_view name, std::string_view content) {
    std::lock_guard const lock(m_mutex);
    m_objects.insert_or_assign(std::string(name), std::string(content));
}

std::optional<std::string> in_memory_platform::in_memory_object_store::get(std::string_view name) {
    std::lock_guard const lock(m_mutex);
    auto const found = m_objects.find(name);
    return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> in_memory_platform::in_memory_object_store::list(std::string_view prefix) {
    std::lock_guard const lock(m_mutex);
    std::vector<std::string> result;
    for (auto it = m_objects.lower_bound(prefix); it != m_objects.end() && it->first.starts_with(prefix);
         ++it) {
        result.push_back(it->first);
    }
    return result;
}

} // namespace pomelospread
