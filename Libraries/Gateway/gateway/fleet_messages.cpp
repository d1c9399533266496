#include "gateway/fleet_messages.hpp"

#include "base/errors.hpp"
#include "base/foreign_text.hpp"
#include "base/log.hpp"
#include "coordination/entry_checks.hpp"
#include "protocol/cereal_codec.hpp"

#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <xxhash.h>

#include <vector>

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, store_version& value) {
    archive(value.era, value.number);
}

template<class Archive>
void serialize(Archive& archive, listed_target& value) {
    archive(value.id, value.pool, value.address, value.zone, value.slots, value.leaving,
            value.warm_up_remaining_ms, value.started_unix_ms);
}

template<class Archive>
void serialize(Archive& archive, target_list_update& value) {
    archive(value.version, value.digest, value.list_age_ms, value.delta_base_digest, value.changed_targets,
            value.removed_target_ids);
}

template<class Archive>
void serialize(Archive& archive, target_load_update& value) {
    archive(value.target_hash, value.in_flight, value.running, value.waiting, value.slowdown_percent,
            value.report_age_ms, value.failures);
}

template<class Archive>
void serialize(Archive& archive, tables_identity& value) {
    archive(value.version, value.era, value.digest);
}

template<class Archive>
void serialize(Archive& archive, leaving_target_update& value) {
    archive(value.id, value.started_unix_ms);
}

template<class Archive>
void serialize(Archive& archive, tables_state& value) {
    archive(value.tables, value.store_era, value.confirmed_age_ms);
}

template<class Archive>
void serialize(Archive& archive, token_amount& value) {
    archive(value.limit, value.units);
}

template<class Archive>
void serialize(Archive& archive, token_transfer& value) {
    archive(value.is_answer, value.from_holder, value.request_id, value.amounts);
}

template<class Archive>
void serialize(Archive& archive, zone_evacuation& value) {
    archive(value.zone, value.changed_at, value.is_evacuated);
}

template<class Archive>
void serialize(Archive& archive, fleet_datagram& value) {
    archive(value.kind, value.sent_ms, value.has_members);
    if (value.has_members) {
        archive(value.members);
    }
    archive(value.has_list_update);
    if (value.has_list_update) {
        archive(value.list_update);
    }
    archive(value.has_tables);
    if (value.has_tables) {
        archive(value.tables);
    }
    archive(value.load_updates);
    if (value.kind == datagram_kind::load_update) {
        archive(value.leaving_targets);
    }
    if (value.kind == datagram_kind::token_transfer) {
        archive(value.tokens);
    }
    if (value.kind == datagram_kind::evacuations) {
        archive(value.evacuations);
    }
}

template<class Archive>
void serialize(Archive& archive, weighted_pool& value) {
    archive(value.pool, value.weight);
}

template<class Archive>
void serialize(Archive& archive, route_row& value) {
    archive(value.name, value.host, value.path_prefix, value.methods, value.pool, value.idempotent,
            value.deadline, value.hedge, value.customer_concurrency, value.weighted_pools,
            value.latency_objective, value.priority, value.max_attempts, value.is_public);
}

template<class Archive>
void serialize(Archive& archive, target_row& value) {
    archive(value.address, value.zone, value.leaving);
}

template<class Archive>
void serialize(Archive& archive, pool_row& value) {
    archive(value.name, value.slots_per_target, value.connections_per_target, value.homes, value.health_path,
            value.warm_up_requests_per_second, value.warm_up_time, value.targets);
}

template<class Archive>
void serialize(Archive& archive, workspace_row& value) {
    archive(value.name, value.key_digests, value.priority, value.requests_per_second, value.burst);
}

template<class Archive>
void serialize(Archive& archive, caller_limits& value) {
    archive(value.max_header_bytes, value.max_body_bytes, value.header_timeout, value.idle_timeout);
}

template<class Archive>
void serialize(Archive& archive, routing_tables& value) {
    archive(value.version, value.limits, value.routes, value.pools, value.workspaces);
}

template<class Archive>
void serialize(Archive& archive, peer_snapshot& value) {
    archive(value.current_tables, value.tables_era, value.target_list_version, value.target_list_age_ms,
            value.targets, value.retained_target_ids, value.members, value.evacuations);
}

std::uint64_t tables_digest(routing_tables const& tables) {
    auto const bytes = detail::encode_message(tables);
    return XXH3_64bits(bytes.data(), bytes.size());
}

namespace {

std::string entry_name(listed_target const& target) {
    return target.id;
}

std::string entry_name(instance_entry const& entry) {
    return to_string(entry.peer_address);
}

/// Removes the entries that are not valid and logs why.
template<class Entry>
void erase_invalid(std::vector<Entry>& entries) {
    std::erase_if(entries, [](Entry const& entry) {
        try {
            throw_if_invalid(entry);
            return false;
        } catch (invalid_input const& failure) {
            log_line(log_level::warning, "entry_unreadable")
                .field("entry", excerpt(entry_name(entry)))
                .field("reason", failure.what())
                .write();
            return true;
        }
    });
}

} // namespace

std::string encode_datagram(fleet_datagram const& message) {
    return detail::encode_message(message);
}

fleet_datagram decode_datagram(std::string_view bytes) {
    auto message = detail::decode_message<fleet_datagram>(bytes);
    if (message.kind > datagram_kind::evacuations) {
        throw malformed_message("the kind of the datagram is not one of 0 to 5");
    }
    try {
        if (message.has_members) {
            throw_if_invalid(message.members.sender);
        }
        for (auto const& target : message.list_update.changed_targets) {
            throw_if_invalid(target);
        }
    } catch (invalid_input const& failure) {
        throw malformed_message(failure.what());
    }
    return message;
}

std::string encode_snapshot(peer_snapshot const& message) {
    return detail::encode_message(message);
}

peer_snapshot decode_snapshot(std::string_view bytes) {
    auto message = detail::decode_message<peer_snapshot>(bytes);
    erase_invalid(message.targets);
    erase_invalid(message.members);
    return message;
}

} // namespace pomelospread
