#include "decoders.hpp"

#include "base/errors.hpp"
#include "gateway/fleet_messages.hpp"
#include "platform/document_codec.hpp"
#include "platform/store_responses.hpp"
#include "platform/wire_format.hpp"
#include "protocol/peer_messages.hpp"
#include "state/account_journal.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace pomelospread {

namespace {

template<auto Decode>
bool is_taken(std::string_view bytes) {
    try {
        static_cast<void>(Decode(bytes));
        return true;
    } catch (malformed_message const&) {
        return false;
    }
}

listed_target decode_entry(std::string_view bytes) {
    return platform::decode_target_entry("i-1", bytes);
}

bool is_load(std::string_view bytes) {
    return platform::wire_format().parse_load(bytes).has_value();
}

address_query decode_address_query(std::string_view bytes) {
    return platform::wire_format().parse_address_query(bytes);
}

constexpr std::array decoders{
    fuzzed_decoder{"manifest", is_taken<platform::decode_manifest>},
    fuzzed_decoder{"target_entry", is_taken<decode_entry>},
    fuzzed_decoder{"member_entry", is_taken<platform::decode_member_entry>},
    fuzzed_decoder{"tables_answer", is_taken<platform::decode_tables_response>},
    fuzzed_decoder{"targets_answer", is_taken<platform::decode_targets_response>},
    fuzzed_decoder{"members_answer", is_taken<platform::decode_members_response>},
    fuzzed_decoder{"names_answer", is_taken<platform::decode_object_names_response>},
    fuzzed_decoder{"load_field", is_load},
    fuzzed_decoder{"address_query", is_taken<decode_address_query>},
    fuzzed_decoder{"fleet_datagram", is_taken<decode_datagram>},
    fuzzed_decoder{"fleet_knowledge", is_taken<decode_snapshot>},
    fuzzed_decoder{"peer_batch", is_taken<decode<peer_batch>>},
    fuzzed_decoder{"gossip", is_taken<decode<gossip_message>>},
    fuzzed_decoder{"account_segment", is_taken<decode_segment>},
};

} // namespace

std::span<fuzzed_decoder const> fuzzed_decoders() {
    return decoders;
}

fuzzed_decoder const& find_fuzzed_decoder(std::string_view name) {
    auto const found = std::ranges::find(decoders, name, &fuzzed_decoder::name);
    if (found == decoders.end()) {
        throw std::out_of_range("no decoder of the name " + std::string(name));
    }
    return *found;
}

} // namespace pomelospread
