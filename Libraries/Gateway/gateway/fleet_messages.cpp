#include "gateway/fleet_messages.hpp"

#include "base/errors.hpp"
#include "protocol/cereal_codec.hpp"

#include <cereal/types/chrono.hpp>

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, listed_target& value) {
    archive(value.id, value.pool, value.address, value.zone, value.slots, value.leaving,
            value.warm_up_left_ms, value.born_unix_ms);
}

template<class Archive>
void serialize(Archive& archive, list_note& value) {
    archive(value.version, value.digest, value.age_ms, value.base_digest, value.changed, value.removed);
}

template<class Archive>
void serialize(Archive& archive, load_news& value) {
    archive(value.target_hash, value.in_flight, value.running, value.waiting, value.slowdown_percent,
            value.age_ms, value.failures);
}

template<class Archive>
void serialize(Archive& archive, fleet_datagram& value) {
    archive(value.has_members);
    if (value.has_members) {
        archive(value.members);
    }
    archive(value.has_targets);
    if (value.has_targets) {
        archive(value.targets);
    }
    archive(value.loads);
}

template<class Archive>
void serialize(Archive& archive, pool_share& value) {
    archive(value.pool, value.weight);
}

template<class Archive>
void serialize(Archive& archive, route_row& value) {
    archive(value.name, value.host, value.path_prefix, value.methods, value.pool, value.idempotent,
            value.deadline, value.hedge, value.customer_concurrency, value.split, value.target_latency,
            value.priority, value.max_attempts);
}

template<class Archive>
void serialize(Archive& archive, target_row& value) {
    archive(value.address, value.zone, value.leaving);
}

template<class Archive>
void serialize(Archive& archive, pool_row& value) {
    archive(value.name, value.slots_per_target, value.connections_per_target, value.homes, value.health_path,
            value.targets);
}

template<class Archive>
void serialize(Archive& archive, caller_limits& value) {
    archive(value.max_header_bytes, value.max_body_bytes, value.header_timeout, value.idle_timeout);
}

template<class Archive>
void serialize(Archive& archive, tables& value) {
    archive(value.version, value.limits, value.routes, value.pools);
}

template<class Archive>
void serialize(Archive& archive, fleet_knowledge& value) {
    archive(value.routes, value.targets_version, value.targets_age_ms, value.targets, value.members);
}

std::string encode_datagram(fleet_datagram const& message) {
    return detail::encode_message(message);
}

fleet_datagram decode_datagram(std::string_view bytes) {
    return detail::decode_message<fleet_datagram>(bytes);
}

std::string encode_knowledge(fleet_knowledge const& message) {
    return detail::encode_message(message);
}

fleet_knowledge decode_knowledge(std::string_view bytes) {
    return detail::decode_message<fleet_knowledge>(bytes);
}

} // namespace pomelospread
