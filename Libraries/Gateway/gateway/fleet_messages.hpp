// What forwarding instances tell each other, encoded with cereal.
#pragma once

#include "coordination/membership.hpp"
#include "coordination/target_list_cache.hpp"
#include "coordination/target_selector.hpp"
#include "state/routing_tables.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The target list that the sender believes in, and how it differs from the one before.
struct target_list_update {
    std::uint64_t version = 0; ///< 0: the sender knows no list.
    std::uint64_t digest = 0;
    std::uint32_t list_age_ms = 0; ///< Since the platform was read.
    std::uint64_t delta_base_digest =
        0; ///< What `changed_targets` and `removed_target_ids` apply to; 0: they are not sent.
    std::vector<listed_target> changed_targets;
    std::vector<std::string> removed_target_ids;
};

/// What the sender knows of a target: its own requests there, and what the target last said of itself.
struct target_load_update {
    std::uint32_t target_hash = 0; ///< `target_id_hash` of the target's id.
    std::uint16_t in_flight = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    std::uint16_t slowdown_percent = 0; ///< 0: no report since the last news.
    std::uint16_t report_age_ms = 0;    ///< Of the report.
    std::uint8_t failures = 0;          ///< Requests of the sender that failed there since the last news.
};

/// One datagram.
struct fleet_datagram {
    bool has_members = false;
    gossip_message members;
    bool has_list_update = false;
    target_list_update list_update;
    std::vector<target_load_update> load_updates;
};

/// Everything that a starting instance needs while the platform is away.
struct peer_snapshot {
    routing_tables current_tables; ///< Version 0: unknown.
    std::uint64_t target_list_version = 0;
    std::uint32_t target_list_age_ms = 0;
    std::vector<listed_target> targets;
    std::vector<instance_entry> members;
};

/// `decode_*` throw `malformed_message` when the bytes are not exactly one message.
[[nodiscard]] std::string encode_datagram(fleet_datagram const& message);
[[nodiscard]] fleet_datagram decode_datagram(std::string_view bytes);
[[nodiscard]] std::string encode_snapshot(peer_snapshot const& message);
[[nodiscard]] peer_snapshot decode_snapshot(std::string_view bytes);

} // namespace pomelospread
