// Encodes and decodes messages with cereal. Included only by the source files that define `serialize`
// functions.
#pragma once

#include "base/errors.hpp"
#include "coordination/membership.hpp"

#include <cereal/archives/adapters.hpp>
#include <cereal/archives/portable_binary.hpp>

#include <cstdint>
#include <sstream>
#include <streambuf>
#include <string>
#include <string_view>
#include <vector>

namespace pomelospread::detail {

/// A stream buffer that reads the bytes of one message in place.
class message_buffer final : public std::streambuf {
public:
    explicit message_buffer(std::string_view bytes) {
        auto* const begin = const_cast<char*>(bytes.data());
        setg(begin, begin, begin + bytes.size());
    }
    [[nodiscard]] std::size_t remaining_bytes() const { return static_cast<std::size_t>(egptr() - gptr()); }
};

using input_archive = cereal::UserDataAdapter<message_buffer, cereal::PortableBinaryInputArchive>;

/// Reads the element count of a container whose elements take at least one byte each, and limits it to the
/// bytes that remain. Cereal's own containers allocate as many elements as the count states, so that a few
/// forged bytes could exhaust the memory.
inline cereal::size_type read_container_size(cereal::PortableBinaryInputArchive& archive) {
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    if (count > cereal::get_user_data<message_buffer>(archive).remaining_bytes()) {
        throw malformed_message("a container's element count exceeds the remaining bytes of the message");
    }
    return count;
}

} // namespace pomelospread::detail

namespace cereal {

/// Reads any byte except 0 as true; storing a byte other than 0 or 1 in a `bool` would be undefined behavior.
inline void load(PortableBinaryInputArchive& archive, bool& value) {
    std::uint8_t byte = 0;
    archive(byte);
    value = byte != 0;
}

inline void save(PortableBinaryOutputArchive& archive, std::string const& text) {
    archive(make_size_tag(static_cast<size_type>(text.size())));
    archive(binary_data(text.data(), text.size()));
}

inline void load(PortableBinaryInputArchive& archive, std::string& text) {
    text.resize(pomelospread::detail::read_container_size(archive));
    archive(binary_data(text.data(), text.size()));
}

template<class Item>
void save(PortableBinaryOutputArchive& archive, std::vector<Item> const& items) {
    archive(make_size_tag(static_cast<size_type>(items.size())));
    for (auto const& item : items) {
        archive(item);
    }
}

template<class Item>
void load(PortableBinaryInputArchive& archive, std::vector<Item>& items) {
    items.clear();
    // No memory is reserved in advance, since the count may still exceed the elements that follow.
    for (auto remaining = pomelospread::detail::read_container_size(archive); remaining > 0; --remaining) {
        archive(items.emplace_back());
    }
}

} // namespace cereal

namespace pomelospread {

template<class Archive>
void serialize(Archive& archive, endpoint& value) {
    archive(value.address, value.port);
}

template<class Archive>
void serialize(Archive& archive, instance_entry& value) {
    archive(value.id, value.zone, value.caller_address, value.peer_address, value.admin_address,
            value.leaving, value.processor_permille);
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
    message_buffer buffer(bytes);
    std::istream stream(&buffer);
    Message message{};
    try {
        input_archive archive(buffer, stream);
        archive(message);
    } catch (std::exception const& failure) {
        throw malformed_message(failure.what());
    }
    if (buffer.remaining_bytes() > 0) {
        throw malformed_message("extra bytes after the message");
    }
    return message;
}

} // namespace detail

} // namespace pomelospread
