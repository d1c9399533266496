// Applies what the responses of a target state about its availability.
#pragma once

#include "gateway/fleet_messages.hpp"
#include "gateway/forwarding_state.hpp"
#include "gateway/target_client.hpp"

#include <span>

namespace pomelospread {

/// The incarnation of a target that an exchange was started with.
struct target_incarnation {
    std::string const& id;
    std::int64_t started_unix_ms = 0;
};

/// Applies the notice of an exchange. A target that leaves gets no further request from this instance, its
/// idle connections are closed, and the other instances are told with the next load update. A target that
/// asked for a pause gets none until its end; that concerns this instance alone.
void apply_target_notice(forwarding_state& state, target_client& client, target_incarnation const& target,
                         target_notice const& notice, steady_time now);

/// Applies which targets told another instance that they leave.
void apply_leaving_updates(forwarding_state& state, target_client& client,
                           std::span<leaving_target_update const> updates, steady_time now);

} // namespace pomelospread
