// The narrow interfaces through which the system meets its platform. An adapter for another platform
// implements these three and nothing else.
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

/// A cell of the table service with the version that a condition names; version 0 means absent.
struct table_cell {
    std::string key;
    std::uint64_t version = 0;
    std::string value;
};

/// The transaction is applied only if `key` is at `version`; 0 requires that it is absent.
struct table_condition {
    std::string key;
    std::uint64_t version = 0;
};

struct table_write {
    std::string key;
    std::string value;
};

/// The platform's transactional table service. Implementations are thread-safe.
/// Every call throws `platform_unavailable` when it certainly had no effect.
class table_service {
public:
    virtual ~table_service() = default;

    /// Reads one cell; an absent one has version 0.
    [[nodiscard]] virtual table_cell read(std::string_view key) = 0;
    /// Reads the cells whose key begins with `prefix`, in order of their keys.
    [[nodiscard]] virtual std::vector<table_cell> list(std::string_view prefix) = 0;
    /// Applies every write if every condition holds, else none.
    /// Throws `version_conflict`, or `platform_outcome_unknown` when the answer was lost.
    virtual void transact(std::span<table_condition const> conditions,
                          std::span<table_write const> writes) = 0;
};

/// The platform's object store. Implementations are thread-safe.
class object_store {
public:
    virtual ~object_store() = default;

    /// Stores an object under a name; the same name and content may be put again safely.
    /// Throws `platform_outcome_unknown` when the answer was lost.
    virtual void put(std::string_view name, std::string_view content) = 0;
    [[nodiscard]] virtual std::optional<std::string> get(std::string_view name) = 0;
    /// Names that begin with `prefix`, in order.
    [[nodiscard]] virtual std::vector<std::string> list(std::string_view prefix) = 0;
};

/// One start of an entry instance. A restarted process has another identity.
using instance_id = std::uint64_t;

/// What an instance tells about itself.
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

/// The platform's list of live and leaving instances; it lags. Implementations are thread-safe.
class instance_registry {
public:
    virtual ~instance_registry() = default;

    virtual void register_instance(instance_entry const& entry) = 0;
    virtual void deregister_instance(instance_id id) = 0;
    [[nodiscard]] virtual std::vector<instance_entry> list_instances() = 0;
};

} // namespace pomelospread
