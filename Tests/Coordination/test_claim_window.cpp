#include "coordination/claim_window.hpp"
#include "expect_invalid_input.hpp"

using namespace pomelospread;

namespace {

constexpr key_epoch epoch = 100;

claim_window make_window(claim_window_limits limits = {}) {
    return claim_window(1, limits);
}

} // namespace

TEST_GROUP(idempotency_keys){};

TEST(idempotency_keys, formatted_prefix_is_parsed_again) {
    key_prefix const prefix{.primary = 0xabc, .witness = ~0ULL, .epoch = 77};
    CHECK(prefix == parse_key_prefix(to_string(prefix) + "-mine_1"));
}

TEST(idempotency_keys, malformed_keys_are_rejected) {
    auto const prefix = to_string({.primary = 1, .witness = 2, .epoch = 3});
    for (auto const& text :
         {prefix, prefix + "-", prefix + "-a b", prefix + "-" + std::string(65, 'a'), std::string("k1-"),
          to_string({.primary = 0, .witness = 2, .epoch = 3}) + "-a", "k1-x" + prefix.substr(4) + "-a"}) {
        expect_invalid_input([&] { static_cast<void>(parse_key_prefix(text)); }, "Idempotency-Key");
    }
}

TEST_GROUP(claim_windows){};

TEST(claim_windows, key_is_dispatched_once_and_then_replayed) {
    auto window = make_window();
    CHECK(window.begin_request("k", epoch).action == primary_action::claim);
    CHECK(window.begin_request("k", epoch).action == primary_action::wait);
    CHECK(window.try_mark_dispatched("k"));
    CHECK_FALSE(window.try_mark_dispatched("k"));
    window.finish_dispatch("k", {.kind = outcome_kind::ran, .status = 201, .body = "paid"});
    auto const again = window.begin_request("k", epoch);
    CHECK(again.action == primary_action::replay);
    STRCMP_EQUAL("paid", again.outcome->body.c_str());
}

TEST(claim_windows, refused_key_is_never_dispatched) {
    auto window = make_window();
    CHECK(window.begin_request("k", epoch).action == primary_action::claim);
    CHECK(window.refuse("k", epoch).kind == outcome_kind::not_run);
    CHECK_FALSE(window.try_mark_dispatched("k"));
    CHECK(window.begin_request("k", epoch).outcome->kind == outcome_kind::not_run);
}

TEST(claim_windows, key_refused_before_its_request_began_is_never_claimed) {
    auto window = make_window();
    CHECK(window.refuse("k", epoch).kind == outcome_kind::not_run);
    CHECK(window.begin_request("k", epoch).action == primary_action::replay);
}

TEST(claim_windows, dispatched_key_cannot_be_refused) {
    auto window = make_window();
    CHECK(window.begin_request("k", epoch).action == primary_action::claim);
    CHECK(window.try_mark_dispatched("k"));
    CHECK(window.refuse("k", epoch).kind == outcome_kind::unknown);
}

TEST(claim_windows, witness_fences_keys_without_a_granted_claim) {
    auto window = make_window();
    CHECK(window.resolve_outcome("k", epoch).kind == outcome_kind::not_run);
    CHECK(window.decide_claim("k", epoch) == claim_reply::refused);
    CHECK(window.decide_claim("g", epoch) == claim_reply::granted);
    CHECK(window.decide_claim("g", epoch) == claim_reply::granted);
    CHECK(window.resolve_outcome("g", epoch).kind == outcome_kind::unknown);
    window.record_outcome("g", epoch, {.kind = outcome_kind::ran, .status = 200});
    CHECK(window.resolve_outcome("g", epoch).kind == outcome_kind::ran);
}

TEST(claim_windows, keys_of_an_evicted_epoch_are_never_accepted) {
    auto window = make_window({.max_keys = 100, .retained_epochs = 2, .max_retained_body_bytes = 10});
    CHECK(window.resolve_outcome("k", epoch).kind == outcome_kind::not_run);
    window.advance_epoch(epoch + 3);
    LONGS_EQUAL(0, window.size());
    CHECK(window.decide_claim("k", epoch) == claim_reply::refused);
    CHECK(window.begin_request("k", epoch).action == primary_action::epoch_expired);
    CHECK(window.resolve_outcome("j", epoch).kind == outcome_kind::unknown);
    CHECK(window.refuse("j", epoch).kind == outcome_kind::unknown);
}

TEST(claim_windows, record_count_is_bounded_and_old_epochs_are_evicted) {
    auto window = make_window({.max_keys = 3, .retained_epochs = 100, .max_retained_body_bytes = 10});
    for (auto const* key : {"a", "b", "c"}) {
        CHECK(window.begin_request(key, epoch).action == primary_action::claim);
    }
    CHECK(window.begin_request("d", epoch).action == primary_action::window_full);
    CHECK(window.decide_claim("w", epoch) == claim_reply::refused);
    CHECK(window.begin_request("d", epoch + 1).action == primary_action::claim);
    CHECK(window.begin_request("a", epoch).action == primary_action::epoch_expired);
}
