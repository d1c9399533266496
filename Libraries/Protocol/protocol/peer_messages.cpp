#include "protocol/peer_messages.hpp"

#include "base/errors.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <streambuf>

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, endpoint& value) {
    archive(value.address, value.port);
}

template<class Archive>
void serialize(Archive& archive, instance_entry& value) {
    archive(value.id, value.zone, value.caller_address, value.peer_address, value.admin_address,
            value.leaving);
}

template<class Archive>
void serialize(Archive& archive, member_digest& value) {
    archive(value.id, value.heartbeat, value.leaving);
}

template<class Archive>
void serialize(Archive& archive, gossip_message& value) {
    archive(value.sender, value.tables_version, value.digests);
}

template<class Archive>
void serialize(Archive& archive, peer_hello& value) {
    archive(value.from, value.to);
}

template<class Archive>
void serialize(Archive& archive, request_outcome& value) {
    archive(value.kind, value.status, value.answer_kept, value.content_type, value.body);
}

template<class Archive>
void serialize(Archive& archive, claim_message& value) {
    archive(value.sequence, value.key, value.epoch, value.record_sequence, value.record);
}

template<class Archive>
void serialize(Archive& archive, record_message& value) {
    archive(value.sequence, value.record_sequence, value.record);
}

template<class Archive>
void serialize(Archive& archive, outcome_message& value) {
    archive(value.key, value.epoch, value.outcome);
}

template<class Archive>
void serialize(Archive& archive, leaving_target& value) {
    archive(value.target, value.remaining_ms);
}

template<class Archive>
void serialize(Archive& archive, load_message& value) {
    archive(value.pool, value.tables_version, value.in_flight, value.leaving);
}

template<class Archive>
void serialize(Archive& archive, tables_request& value) {
    archive(value.sequence);
}

template<class Archive>
void serialize(Archive& archive, peer_batch& value) {
    archive(value.claims, value.records, value.outcomes, value.loads, value.tables, value.stored_through);
}

template<class Archive>
void serialize(Archive& archive, message_ack& value) {
    archive(value.sequence, value.accepted, value.payload);
}

template<class Archive>
void serialize(Archive& archive, peer_reply& value) {
    archive(value.acks);
}

namespace {

/// A vector's size is read before its elements; a forged size must not allocate more than was sent.
class bounded_input final : public std::streambuf {
public:
    explicit bounded_input(std::string_view bytes) {
        auto* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] bool is_consumed() const { return gptr() == egptr(); }
};

} // namespace

template<class Message>
std::string encode(Message const& message) {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

template<class Message>
Message decode(std::string_view bytes) {
    bounded_input buffer(bytes);
    std::istream stream(&buffer);
    Message message{};
    try {
        cereal::PortableBinaryInputArchive archive(stream);
        archive(message);
    } catch (std::exception const& failure) {
        throw malformed_message(failure.what());
    }
    if (!buffer.is_consumed()) {
        throw malformed_message("bytes after the message");
    }
    return message;
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
