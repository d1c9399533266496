// The messages between forwarding instances, encoded with cereal.
#pragma once

#include "coordination/membership.hpp"
#include "coordination/target_list_cache.hpp"
#include "coordination/target_selector.hpp"
#include "coordination/zone_evacuations.hpp"
#include "state/routing_tables.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The version of the sender's target list, and the changes that lead to it.
struct target_list_update {
    store_version version; ///< Number 0 of era 0: the sender has no list.
    std::uint64_t digest = 0;
    std::uint32_t list_age_ms = 0; ///< Since the list was read from the platform.
    /// Digest of the list that `changed_targets` and `removed_target_ids` apply to; 0: they are not sent.
    std::uint64_t delta_base_digest = 0;
    std::vector<listed_target> changed_targets;
    std::vector<std::string> removed_target_ids;
};

/// A load update of one target: the sender's requests in flight there and the target's last load report.
struct target_load_update {
    std::uint32_t target_hash = 0; ///< `target_id_hash` of the target's id.
    std::uint16_t in_flight = 0;
    std::uint16_t running = 0;
    std::uint16_t waiting = 0;
    std::uint16_t slowdown_percent = 0; ///< 0: no load report since the last update.
    std::uint16_t report_age_ms = 0;    ///< Age of the load report.
    std::uint8_t failures = 0;          ///< The sender's requests that failed there since its last update.
};

/// An incarnation of a target that said that it leaves.
struct leaving_target_update {
    std::string id;
    std::int64_t started_unix_ms = 0;
};

/// Which routing tables an instance has. The operator's versions rise, but after the platform's store lost an
/// edit, another one may have the same version in a later era.
struct tables_identity {
    std::uint64_t version = 0; ///< The operator's; 0: none.
    std::uint64_t era = 0;     ///< The newest era in which the platform's store held this content.
    std::uint64_t digest = 0;  ///< See `tables_digest`.

    [[nodiscard]] bool has_same_content(tables_identity const& other) const noexcept {
        return version == other.version && digest == other.digest;
    }
    /// Whether these tables are to be applied where `other` are in force. A version never decreases.
    [[nodiscard]] bool supersedes(tables_identity const& other) const noexcept {
        return version != other.version ? version > other.version : digest != other.digest && era > other.era;
    }
};

/// The sender's routing tables, and how long ago it knew that the platform had no newer ones.
struct tables_state {
    tables_identity tables;
    std::uint64_t store_era = 0;        ///< The newest era of the platform's store that the sender knows.
    std::uint32_t confirmed_age_ms = 0; ///< Confirmations of earlier eras do not count.
};

/// Tokens of one fleet-wide rate limit.
struct token_amount {
    std::uint64_t limit = 0; ///< Hash of the name of the limit's workspace.
    std::uint32_t units = 0; ///< Thousandths of a token.
};

/// A request for tokens of fleet-wide rate limits, or the answer with those that the sender gives.
struct token_transfer {
    bool is_answer = false;
    bool from_holder = false;     ///< Of a request: the sender's own capacity accounts for the tokens.
    std::uint64_t request_id = 0; ///< The same in the request and its answer.
    std::vector<token_amount> amounts;
};

/// Why a datagram is sent. Relays forward announcements and list updates within their zone.
enum class datagram_kind : std::uint8_t {
    heartbeat,
    announcement, ///< The sender joins, leaves or has newer tables.
    list_update,
    load_update,
    token_transfer,
    evacuations, ///< Zones whose evacuation began or ended.
};

/// One datagram; each part is optional.
struct fleet_datagram {
    datagram_kind kind = datagram_kind::heartbeat;
    std::uint64_t sent_ms = 0; ///< The sender's steady clock when the datagram is sent, set by the socket.
    bool has_members = false;
    gossip_message members;
    bool has_list_update = false;
    target_list_update list_update;
    bool has_tables = false;
    tables_state tables;
    std::vector<target_load_update> load_updates;
    std::vector<leaving_target_update> leaving_targets; ///< Sent only in a `load_update`.
    token_transfer tokens;                              ///< Sent only in a `token_transfer`.
    std::vector<zone_evacuation> evacuations;           ///< Sent only in `evacuations`.
};

/// The sender's tables, target list and members, for an instance that starts, possibly while the platform is
/// unreachable, or that is behind. Parts that the receiver has or does not want are absent: version 0, no
/// members.
struct peer_snapshot {
    routing_tables current_tables; ///< Version 0: the sender has none.
    std::uint64_t tables_era = 0;  ///< `tables_identity::era`.
    store_version target_list_version;
    std::uint32_t target_list_age_ms = 0;
    std::vector<listed_target> targets;
    std::vector<std::string> retained_target_ids; ///< `target_list_snapshot::retained_ids`.
    std::vector<instance_entry> members;
    std::vector<zone_evacuation> evacuations;
};

/// Hash of every field; equal tables have equal digests.
[[nodiscard]] std::uint64_t tables_digest(routing_tables const& tables);

/// The `decode_` functions throw `malformed_message` when the bytes are not exactly one message. Of a
/// snapshot, targets and members with values out of range are left out and logged; a datagram with such an
/// entry is malformed, since an update applies as a whole.
[[nodiscard]] std::string encode_datagram(fleet_datagram const& message);
[[nodiscard]] fleet_datagram decode_datagram(std::string_view bytes);
[[nodiscard]] std::string encode_snapshot(peer_snapshot const& message);
[[nodiscard]] peer_snapshot decode_snapshot(std::string_view bytes);

} // namespace pomelospread
