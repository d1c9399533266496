// The messages between instances. The frames of the TCP links and the UDP heartbeats are encoded with cereal.
#pragma once

#include "coordination/claim_window.hpp"
#include "coordination/membership.hpp"
#include "state/account_record.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread {

/// The first frame of a link in each direction: the sender and the incarnation that it expects at the other
/// end.
struct peer_hello {
    instance_id from = 0;
    instance_id to = 0;
};

/// Asks the witness to grant a claim and to hold a replica of the account record.
struct claim_message {
    std::uint64_t sequence = 0; ///< Returned in `message_ack::sequence`.
    std::string key;
    key_epoch epoch = 0;
    std::uint64_t record_sequence = 0; ///< 0 when the journal was full.
    account_record record;
};

/// Asks a peer to hold a replica of an account record.
struct record_replica_message {
    std::uint64_t sequence = 0; ///< 0 requests no acknowledgement.
    std::uint64_t record_sequence = 0;
    account_record record;
};

/// Reports to the witness how a claimed request ended.
struct outcome_message {
    std::string key;
    key_epoch epoch = 0;
    request_outcome outcome;
};

/// A target that announced that it is leaving, and for how much longer it gets no new requests.
struct leaving_target {
    std::uint16_t target_index = 0;
    std::uint32_t remaining_ms = 0;
};

/// A load update: how many requests the sender has in flight at the targets of a pool.
struct pool_load_update {
    std::string pool;
    std::uint64_t tables_version = 0;
    std::vector<std::uint16_t> in_flight; ///< By the index of the target in the pool row.
    std::vector<leaving_target> leaving_targets;
};

/// Asks for the current tables, for example by an instance that starts while the platform is unreachable.
struct tables_request {
    std::uint64_t sequence = 0;
};

/// All messages that were queued for a link, in one frame.
struct peer_batch {
    std::vector<claim_message> claims;
    std::vector<record_replica_message> records;
    std::vector<outcome_message> outcomes;
    std::vector<pool_load_update> load_updates;
    std::vector<tables_request> tables_requests;
    /// The sender's own records up to this sequence are in the object store.
    std::uint64_t last_stored_sequence = 0;

    [[nodiscard]] bool empty() const noexcept {
        return claims.empty() && records.empty() && outcomes.empty() && load_updates.empty() &&
               tables_requests.empty();
    }
};

struct message_ack {
    std::uint64_t sequence = 0;
    bool accepted = false;
    std::string payload; ///< The encoded tables in reply to a `tables_request`, else empty.
};

struct peer_reply {
    std::vector<message_ack> acks;
};

/// Encodes or decodes a message. `decode` throws `malformed_message` when the bytes are not exactly one
/// message.
template<class Message>
[[nodiscard]] std::string encode(Message const& message);
template<class Message>
[[nodiscard]] Message decode(std::string_view bytes);

/// Largest frame of a link.
constexpr std::size_t max_frame_bytes = std::size_t{8} * 1024 * 1024;
/// Largest UDP heartbeat.
constexpr std::size_t max_datagram_bytes = 1400;

} // namespace pomelospread
