#include "decoders.hpp"

#include "base/errors.hpp"
#include "gateway/fleet_messages.hpp"
#include "gateway/object_collector.hpp"
#include "gateway/rate_division_messages.hpp"
#include "gateway/snapshot_exchange.hpp"
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
bool can_decode(std::string_view bytes) {
    try {
        static_cast<void>(Decode(bytes));
        return true;
    } catch (malformed_message const&) {
        return false;
    }
}

platform::target_entry decode_target_entry(std::string_view bytes) {
    return platform::decode_target_entry("i-1", bytes);
}

bool can_parse_load(std::string_view bytes) {
    return platform::wire_format().parse_load(bytes).has_value();
}

address_query decode_address_query(std::string_view bytes) {
    return platform::wire_format().parse_address_query(bytes);
}

bool can_parse_snapshot_request(std::string_view bytes) {
    try {
        static_cast<void>(parse_snapshot_request(bytes));
        return true;
    } catch (invalid_input const&) {
        return false;
    }
}

constexpr std::array decoders{
    fuzzed_decoder{"manifest", can_decode<platform::decode_manifest>},
    fuzzed_decoder{"target_entry", can_decode<decode_target_entry>},
    fuzzed_decoder{"member_entry", can_decode<platform::decode_member_entry>},
    fuzzed_decoder{"tables_answer", can_decode<platform::decode_tables_response>},
    fuzzed_decoder{"targets_answer", can_decode<platform::decode_targets_response>},
    fuzzed_decoder{"members_answer", can_decode<platform::decode_members_response>},
    fuzzed_decoder{"conflict_answer", can_decode<platform::decode_conflict_response>},
    fuzzed_decoder{"rate_division", can_decode<platform::decode_rate_division>},
    fuzzed_decoder{"rate_division_answer", can_decode<platform::decode_rate_division_response>},
    fuzzed_decoder{"names_answer", can_decode<platform::decode_object_names_response>},
    fuzzed_decoder{"load_field", can_parse_load},
    fuzzed_decoder{"address_query", can_decode<decode_address_query>},
    fuzzed_decoder{"fleet_datagram", can_decode<decode_datagram>},
    fuzzed_decoder{"fleet_knowledge", can_decode<decode_snapshot>},
    fuzzed_decoder{"rate_division_state", can_decode<decode_rate_division_state>},
    fuzzed_decoder{"snapshot_request", can_parse_snapshot_request},
    fuzzed_decoder{"object_group", can_decode<decode_object_group>},
    fuzzed_decoder{"peer_batch", can_decode<decode<peer_batch>>},
    fuzzed_decoder{"gossip", can_decode<decode<gossip_message>>},
    fuzzed_decoder{"account_segment", can_decode<decode_segment>},
};

} // namespace

std::span<fuzzed_decoder const> fuzzed_decoders() {
    return decoders;
}

fuzzed_decoder const& find_fuzzed_decoder(std::string_view name) {
    auto const found = std::ranges::find(decoders, name, &fuzzed_decoder::name);
    if (found == decoders.end()) {
        throw std::out_of_range("no decoder has the name " + std::string(name));
    }
    return *found;
}

} // namespace pomelospread
