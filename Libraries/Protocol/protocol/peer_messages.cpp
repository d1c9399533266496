#include "protocol/peer_messages.hpp"

#include "protocol/cereal_codec.hpp"

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, peer_hello& value) {
    archive(value.from, value.to);
}

template<class Archive>
void serialize(Archive& archive, request_outcome& value) {
    archive(value.kind, value.status, value.response_retained, value.content_type, value.body);
}

template<class Archive>
void serialize(Archive& archive, claim_message& value) {
    archive(value.sequence, value.key, value.epoch, value.record_sequence, value.record);
}

template<class Archive>
void serialize(Archive& archive, record_replica_message& value) {
    archive(value.sequence, value.record_sequence, value.record);
}

template<class Archive>
void serialize(Archive& archive, outcome_message& value) {
    archive(value.key, value.epoch, value.outcome);
}

template<class Archive>
void serialize(Archive& archive, leaving_target& value) {
    archive(value.target_index, value.remaining_ms);
}

template<class Archive>
void serialize(Archive& archive, pool_load_update& value) {
    archive(value.pool, value.tables_version, value.in_flight, value.leaving_targets);
}

template<class Archive>
void serialize(Archive& archive, tables_request& value) {
    archive(value.sequence);
}

template<class Archive>
void serialize(Archive& archive, peer_batch& value) {
    archive(value.claims, value.records, value.outcomes, value.load_updates, value.tables_requests,
            value.last_stored_sequence);
}

template<class Archive>
void serialize(Archive& archive, message_ack& value) {
    archive(value.sequence, value.accepted, value.payload);
}

template<class Archive>
void serialize(Archive& archive, peer_reply& value) {
    archive(value.acks);
}

template<class Message>
std::string encode(Message const& message) {
    return detail::encode_message(message);
}

template<class Message>
Message decode(std::string_view bytes) {
    return detail::decode_message<Message>(bytes);
}

template std::string encode(gossip_message const&);
template std::string encode(peer_hello const&);
template std::string encode(peer_batch const&);
template std::string encode(peer_reply const&);
template gossip_message decode(std::string_view);
template peer_hello decode(std::string_view);
template peer_batch decode(std::string_view);
template peer_reply decode(std::string_view);

} // namespace pomelospread
