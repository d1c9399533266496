// Decides whether a non-idempotent request may be dispatched, and which outcome its caller may receive.
//
// A key names a primary and a witness. Only the primary dispatches, and only after the witness granted its
// claim. A witness that is asked for the outcome of a key without a granted claim first fences the key, so
// that no later claim is granted; it can then correctly report that the request did not run. A key that was
// generated while the fleet had one instance names no witness; its primary dispatches without a claim.
//
// No outcome is wrong because of a clock: clock time only evicts old keys, and an instance reports the
// outcome of a key that it evicted as unknown. A pause of either instance, however long, only delays
// messages. docs/design/claims.md compares the alternatives.
#pragma once

#include "coordination/idempotency_key.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace pomelospread {

/// The outcomes that can be reported to a caller.
enum class outcome_kind : std::uint8_t {
    ran,     ///< The target responded, and the response is complete.
    not_run, ///< The request did not run and never will under this key.
    unknown, ///< It may have run.
};

[[nodiscard]] std::string_view to_string(outcome_kind kind) noexcept;

/// The decided outcome of a key, with the response if it is retained.
struct request_outcome {
    outcome_kind kind = outcome_kind::unknown;
    std::uint16_t status = 0;       ///< The target's HTTP status when `kind` is `ran`.
    bool response_retained = false; ///< False when the body was too large to be retained for replays.
    std::string content_type;
    std::string body;
};

/// What the primary does with a request that it received.
enum class primary_action {
    claim,         ///< Send a claim to the witness; the key is now reserved for this request.
    wait,          ///< A request with the same key is in progress; wait for its outcome.
    replay,        ///< The outcome is decided; respond with it.
    epoch_expired, ///< The keys of this epoch were evicted, so the request may have run.
    window_full,   ///< There is no room for a record of the key; the request may have run before.
};

struct primary_decision {
    primary_action action = primary_action::claim;
    request_outcome const* outcome = nullptr; ///< Set for `replay`; valid until the next call.
};

/// The reply of the witness to a claim.
enum class claim_reply : std::uint8_t { granted, refused };

/// Limits that bound the memory of a window.
struct claim_window_limits {
    std::size_t max_keys = 200000;
    key_epoch retained_epochs = 12;
    std::size_t max_retained_body_bytes = 4096;
};

/// The keys that one instance decides on, as primary and as witness. Not thread-safe; does no I/O and
/// reads no clock: `advance_epoch` gets the current epoch.
class claim_window {
public:
    claim_window(instance_id self, claim_window_limits limits);

    /// @name As primary
    /// @{

    /// A request with `key` arrived. After the action `claim`, exactly one of `refuse` and `finish_dispatch`
    /// must be called for the key.
    [[nodiscard]] primary_decision begin_request(std::string_view key, key_epoch epoch);
    /// The witness granted the claim. Returns whether the request may be dispatched now; false after
    /// `refuse`.
    [[nodiscard]] bool try_mark_dispatched(std::string_view key);
    /// The request will not be dispatched, because it timed out or was refused. Returns the outcome that is
    /// now in force: the one that was decided before; `unknown` when the key has been dispatched, or when it
    /// has no record and its epoch was evicted or there is no room for one; otherwise `not_run`.
    request_outcome refuse(std::string_view key, key_epoch epoch);
    /// The dispatch ended with `outcome`. An outcome that was decided before remains in force.
    void finish_dispatch(std::string_view key, request_outcome outcome);
    /// The decided outcome of a key, or nullptr.
    [[nodiscard]] request_outcome const* outcome(std::string_view key) const;

    /// @}
    /// @name As witness
    /// @{

    /// The primary claims the right to dispatch.
    [[nodiscard]] claim_reply decide_claim(std::string_view key, key_epoch epoch);
    /// The primary reports the outcome of a granted claim.
    void record_outcome(std::string_view key, key_epoch epoch, request_outcome outcome);
    /// Decides which outcome a caller receives while the primary cannot be reached: the outcome that the
    /// primary reported, or `unknown` when only a claim was granted. Without either it fences the key and
    /// returns `not_run`, or returns `unknown` when the epoch was evicted or there is no room for a record.
    [[nodiscard]] request_outcome resolve_outcome(std::string_view key, key_epoch epoch);

    /// @}

    /// Evicts every key of the epochs before `now - retained_epochs`. Keys of these epochs are never accepted
    /// again.
    void advance_epoch(key_epoch now);

    [[nodiscard]] std::size_t size() const noexcept { return m_primary.size() + m_witness.size(); }
    [[nodiscard]] key_epoch oldest_epoch() const noexcept { return m_oldest_epoch; }
    [[nodiscard]] instance_id self() const noexcept { return m_self; }

private:
    enum class primary_state : std::uint8_t { claiming, dispatched, decided };
    enum class witness_state : std::uint8_t { claimed, fenced, decided };

    struct primary_record {
        primary_state state = primary_state::claiming;
        request_outcome outcome;
    };
    struct witness_record {
        witness_state state = witness_state::claimed;
        request_outcome outcome;
    };
    struct epoch_keys {
        std::vector<std::string> primary;
        std::vector<std::string> witness;
    };

    [[nodiscard]] bool make_room(key_epoch epoch);
    void evict_before(key_epoch oldest);
    [[nodiscard]] request_outcome without_large_body(request_outcome outcome) const;

    instance_id m_self;
    claim_window_limits m_limits;
    key_epoch m_oldest_epoch = 0;
    std::unordered_map<std::string, primary_record> m_primary;
    std::unordered_map<std::string, witness_record> m_witness;
    std::map<key_epoch, epoch_keys> m_keys_by_epoch;
};

} // namespace pomelospread
