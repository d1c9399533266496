#include "expect_invalid_input.hpp"
#include "state/account_journal.hpp"

using namespace pomelospread;

static account_record record_of(std::string id) {
    return {.id = std::move(id),
            .customer = "c",
            .unix_ms = 5,
            .method = "GET",
            .path = "/\xff\"",
            .status = 200};
}

TEST_GROUP(account_journal){};

TEST(account_journal, an_encoded_segment_decodes_and_its_records_are_removed_once_stored) {
    account_journal journal(7, 10);
    LONGS_EQUAL(1, *journal.append(record_of("a")));
    LONGS_EQUAL(2, *journal.append(record_of("b")));
    auto const segment = *journal.next_segment(1, false);
    auto const decoded = decode_segment(encode_segment(segment));
    LONGS_EQUAL(1, decoded.last_sequence);
    STRCMP_EQUAL("a", decoded.records.front().id.c_str());
    journal.mark_stored(1);
    LONGS_EQUAL(2, journal.next_segment(9, false)->first_sequence);
    CHECK_THROWS(malformed_message, decode_segment("{\"owner\":"));
}

TEST(account_journal, a_record_completed_after_it_was_stored_is_appended_again) {
    account_journal journal(7, 10);
    auto const sequence = *journal.append(record_of("a"));
    journal.mark_stored(sequence);
    auto completed = record_of("a");
    completed.outcome = "ran";
    CHECK_FALSE(journal.complete(sequence, completed));
    STRCMP_EQUAL("ran", journal.next_segment(9, false)->records.front().outcome.c_str());
}

TEST(account_journal, rejects_new_records_when_full_but_replaces_a_replica_that_it_holds) {
    account_journal journal(7, 2);
    CHECK(journal.append(record_of("a")).has_value());
    CHECK(journal.add_replica(8, 1, record_of("b")));
    CHECK_FALSE(journal.append(record_of("c")).has_value());
    CHECK_FALSE(journal.add_replica(8, 2, record_of("d")));
    CHECK(journal.add_replica(8, 1, record_of("again")));
}

TEST(account_journal, returns_the_replicas_of_a_failed_owner_until_they_are_stored) {
    account_journal journal(7, 10);
    CHECK(journal.add_replica(8, 3, record_of("b")));
    CHECK(journal.add_replica(8, 5, record_of("c")));
    auto const recovered = *journal.recovery_segment(8);
    LONGS_EQUAL(3, recovered.first_sequence);
    LONGS_EQUAL(5, recovered.last_sequence);
    CHECK(recovered.recovered);
    journal.remove_replicas_through(8, 4);
    LONGS_EQUAL(1, journal.recovery_segment(8)->records.size());
    journal.remove_replicas_through(8, 5);
    CHECK(journal.replica_owners().empty());
    LONGS_EQUAL(0, journal.size());
}

TEST(account_journal, a_replica_that_a_full_journal_rejects_leaves_no_owner_to_recover) {
    account_journal journal(7, 1);
    CHECK(journal.append(record_of("a")).has_value());
    CHECK_FALSE(journal.add_replica(9, 1, record_of("b")));
    LONGS_EQUAL(0, journal.replica_owners().size());
}
