// Stores the objects of several instances together, so that the calls to the platform's object store do not
// grow with the number of instances.
#pragma once

#include "coordination/platform.hpp"
#include "transport/io_thread.hpp"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

struct named_object {
    std::string name;
    std::string content;

    bool operator==(named_object const&) const = default;
};

/// The content of an object that holds others. `decode_object_group` throws `malformed_message`.
[[nodiscard]] std::string encode_object_group(std::vector<named_object> const& objects);
[[nodiscard]] std::vector<named_object> decode_object_group(std::string_view bytes);

struct object_collector_limits {
    std::chrono::milliseconds window{1500}; ///< From the first object of a group until it is stored.
    /// A group that reaches this size is stored at once; the platform limits the size of an object.
    std::size_t max_group_bytes = std::size_t{4} * 1024 * 1024;
};

/// Used on one thread.
class object_collector {
public:
    object_collector(io_thread& thread, object_store& store, instance_id self,
                     object_collector_limits limits = {})
        : m_thread(thread), m_store(store), m_self(self), m_limits(limits) {}

    /// Stores the object in a group with those of other callers. Suspends the calling fiber until the
    /// platform has stored the group, so that whoever submits an object may forget it afterwards. Throws
    /// `platform_unavailable` when the group was not stored, or perhaps was; the same object may then be
    /// submitted again.
    void put(std::string name, std::string content);

private:
    struct group {
        std::vector<named_object> objects;
        std::size_t bytes = 0;
        bool is_finished = false;
        std::string failure; ///< Empty when the group was stored.
        boost::fibers::mutex mutex;
        boost::fibers::condition_variable finished;
    };

    void open_group();
    void store_group(std::shared_ptr<group> const& closed);

    io_thread& m_thread;
    object_store& m_store;
    instance_id m_self;
    object_collector_limits m_limits;
    std::shared_ptr<group> m_open_group;
    std::uint64_t m_next_group_number = 1;
};

} // namespace pomelospread
