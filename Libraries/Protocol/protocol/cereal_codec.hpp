// Encodes one message with cereal and decodes exactly one; included by the files that define messages.
#pragma once

#include "base/errors.hpp"
#include "coordination/membership.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>

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

namespace detail {

/// A vector's size is read before its elements; a forged size must not allocate more than was sent.
class bounded_input final : public std::streambuf {
public:
    explicit bounded_input(std::string_view bytes) {
        auto* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] bool is_consumed() const { return gptr() == egptr(); }
};

template<class Message>
std::string encode_message(Message const& message) {
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(message);
    }
    return std::move(stream).str();
}

/// Throws `malformed_message` when the bytes are not exactly one message.
template<class Message>
Message decode_message(std::string_view bytes) {
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

} // namespace detail

} // namespace pomelospread
