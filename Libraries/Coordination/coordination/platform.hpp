// The interfaces to the platform. Instances of the entry library use all three, and an adapter that serves
// them implements only these; forwarding instances use `object_store` and, instead of the others,
// `platform_store` (platform_store.hpp).
#pragma once

#include "base/endpoint.hpp"
#include "base/errors.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// A cell of the table service. Conditions refer to its version; version 0 means that the cell is absent.
struct table_cell {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// Requires that the cell `key` has `version`; 0 requires that it is absent.
struct table_condition {
    std::string key;
    std::uint64_t version = 0;
};

struct table_write {
    std::string key;
    std::string value;
};

/// The platform's transactional table service. Implementations are thread-safe.
/// Every call throws `platform_unavailable` when it failed and certainly had no effect.
class table_service {
public:
    virtual ~table_service() = default;

    /// Reads one cell; an absent one has version 0.
    [[nodiscard]] virtual table_cell read(std::string_view key) = 0;
    /// The cells whose key begins with `prefix`, in order of their keys.
    [[nodiscard]] virtual std::vector<table_cell> list(std::string_view prefix) = 0;
    /// Applies all writes if all conditions hold, otherwise none.
    /// Throws `version_conflict` when a condition does not hold, or `platform_outcome_unknown` when the
    /// response was lost.
    virtual void transact(std::span<table_condition const> conditions,
                          std::span<table_write const> writes) = 0;
};

/// The platform's object store. Implementations are thread-safe.
class object_store {
public:
    virtual ~object_store() = default;

    /// Stores an object under a name. Storing the same content under the same name again is safe.
    /// Throws `platform_outcome_unknown` when the response was lost.
    virtual void put(std::string_view name, std::string_view content) = 0;
    [[nodiscard]] virtual std::optional<std::string> get(std::string_view name) = 0;
    /// The names that begin with `prefix`, in order.
    [[nodiscard]] virtual std::vector<std::string> list(std::string_view prefix) = 0;
};

/// Identifies one incarnation of an instance: a restarted process has another id.
using instance_id = std::uint64_t;

/// What an instance publishes about itself.
struct instance_entry {
    instance_id id = 0;
    std::string zone;
    endpoint caller_address;
    endpoint peer_address;
    endpoint admin_address;
    bool leaving = false;
    std::uint32_t processor_permille = 1000; ///< Thousandths of a core that the instance may use.

    bool operator==(instance_entry const&) const = default;
};

/// The platform's list of live and leaving instances, which may be out of date. Implementations are
/// thread-safe.
class instance_registry {
public:
    virtual ~instance_registry() = default;

    virtual void register_instance(instance_entry const& entry) = 0;
    virtual void deregister_instance(instance_id id) = 0;
    [[nodiscard]] virtual std::vector<instance_entry> list_instances() = 0;
};

} // namespace pomelospread
