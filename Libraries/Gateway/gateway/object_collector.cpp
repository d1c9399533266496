#include "gateway/object_collector.hpp"

#include "base/errors.hpp"
#include "base/log.hpp"
#include "protocol/cereal_codec.hpp"
#include "protocol/platform_json_codec.hpp"

#include <boost/fiber/operations.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <utility>

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, named_object& value) {
    archive(value.name, value.content);
}

std::string encode_object_group(std::vector<named_object> const& objects) {
    return detail::encode_message(objects);
}

std::vector<named_object> decode_object_group(std::string_view bytes) {
    return detail::decode_message<std::vector<named_object>>(bytes);
}

void object_collector::open_group() {
    m_open_group = std::make_shared<group>();
    m_thread.spawn([this, opened = m_open_group] {
        boost::this_fiber::sleep_for(m_limits.window);
        if (m_open_group == opened) {
            m_open_group.reset();
            store_group(opened);
        }
    });
}

void object_collector::put(std::string name, std::string content) {
    if (m_open_group == nullptr) {
        open_group();
    }
    auto const joined = m_open_group;
    joined->bytes += name.size() + content.size();
    joined->objects.push_back({std::move(name), std::move(content)});
    if (joined->bytes >= m_limits.max_group_bytes) {
        m_open_group.reset();
        store_group(joined);
    }
    std::unique_lock lock(joined->mutex);
    joined->finished.wait(lock, [&] { return joined->is_finished; });
    if (!joined->failure.empty()) {
        throw platform_unavailable(joined->failure);
    }
}

void object_collector::store_group(std::shared_ptr<group> const& closed) {
    auto const name =
        "account-groups/" + format_instance_id(m_self) + "/" + std::to_string(m_next_group_number++);
    try {
        m_store.put(name, encode_object_group(closed->objects));
    } catch (std::exception const& failure) {
        closed->failure = failure.what();
    }
    log_line(log_level::info, "group_stored")
        .field("objects", static_cast<std::uint64_t>(closed->objects.size()))
        .field("bytes", static_cast<std::uint64_t>(closed->bytes))
        .field("stored", closed->failure.empty() ? "yes" : "no")
        .field("reason", closed->failure)
        .write();
    closed->is_finished = true;
    closed->finished.notify_all();
}

} // namespace pomelospread
