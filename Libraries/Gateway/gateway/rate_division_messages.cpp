#include "gateway/rate_division_messages.hpp"

#include "protocol/cereal_codec.hpp"

#include <algorithm>

namespace pomelospread {

namespace {

struct encoded_state {
    std::uint64_t era = 0;
    std::uint64_t number = 0;
    std::vector<endpoint> holders;
    bool has_previous_holders = false;
    std::vector<endpoint> previous_holders;
    bool has_confirmed_age = false;
    std::uint64_t confirmed_age_ms = 0;
};

template<class Archive>
void serialize(Archive& archive, encoded_state& value) {
    archive(value.era, value.number, value.holders, value.has_previous_holders, value.previous_holders,
            value.has_confirmed_age, value.confirmed_age_ms);
}

/// Bounds the ages that peers state, so that computing with them cannot overflow.
constexpr std::uint64_t max_age_ms = std::uint64_t{1} << 40U;

std::set<endpoint> checked(std::vector<endpoint> const& instances, char const* name) {
    for (auto const& each : instances) {
        if (!is_ip_address(each.address) || each.port == 0) {
            throw malformed_message(std::string(name) +
                                    " has an entry that is not an IP address and a port from 1 to 65535");
        }
    }
    return {instances.begin(), instances.end()};
}

} // namespace

std::string encode_rate_division_state(rate_division_state const& state) {
    auto const& division = state.division;
    encoded_state message{.era = division.version.era,
                          .number = division.version.number,
                          .holders = {division.holders.begin(), division.holders.end()},
                          .has_previous_holders = division.previous_holders.has_value(),
                          .previous_holders = {},
                          .has_confirmed_age = state.confirmed_age.has_value(),
                          .confirmed_age_ms = 0};
    if (division.previous_holders) {
        message.previous_holders.assign(division.previous_holders->begin(), division.previous_holders->end());
    }
    if (state.confirmed_age) {
        message.confirmed_age_ms = std::min(
            max_age_ms, static_cast<std::uint64_t>(std::max<std::int64_t>(0, state.confirmed_age->count())));
    }
    return detail::encode_message(message);
}

rate_division_state decode_rate_division_state(std::string_view bytes) {
    auto const message = detail::decode_message<encoded_state>(bytes);
    rate_division_state state{.division = {.version = {.era = message.era, .number = message.number},
                                           .holders = checked(message.holders, "holders"),
                                           .previous_holders = {}},
                              .confirmed_age = {}};
    if (message.has_previous_holders) {
        state.division.previous_holders = checked(message.previous_holders, "previous_holders");
    }
    if (message.has_confirmed_age) {
        if (message.confirmed_age_ms > max_age_ms) {
            throw malformed_message("confirmed_age_ms is out of range (allowed: 0 to 1099511627776)");
        }
        state.confirmed_age = std::chrono::milliseconds(message.confirmed_age_ms);
    }
    return state;
}

} // namespace pomelospread
