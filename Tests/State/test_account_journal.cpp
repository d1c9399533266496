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

TEST(account_journal, a_segment_reads_back_and_leaves_once_stored) {
    account_journal journal(7, 10);
    LONGS_EQUAL(1, *journal.append(record_of("a")));
    LONGS_EQUAL(2, *journal.append(record_of("b")));
    auto const segment = *journal.next_segment(1, false);
    auto const read = decode_segment(encode_segment(segment));
    LONGS_EQUAL(1, read.last_sequence);
    STRCMP_EQUAL("a", read.records.front().id.c_str());
    journal.mark_stored(1);
    LONGS_EQUAL(2, journal.next_segment(9, false)->first_sequence);
    CHECK_THROWS(malformed_message, decode_segment("{\"owner\":"));
}

TEST(account_journal, an_outcome_after_the_flush_is_stored_again) {
    account_journal journal(7, 10);
    auto const sequence = *journal.append(record_of("a"));
    journal.mark_stored(sequence);
    auto done = record_of("a");
    done.outcome = "ran";
    CHECK_FALSE(journal.complete(sequence, done));
    STRCMP_EQUAL("ran", journal.next_segment(9, false)->records.front().outcome.c_str());
}

TEST(account_journal, refuses_rather_than_loses_when_full) {
    account_journal journal(7, 2);
    CHECK(journal.append(record_of("a")).has_value());
    CHECK(journal.add_replica(8, 1, record_of("b")));
    CHECK_FALSE(journal.append(record_of("c")).has_value());
    CHECK_FALSE(journal.add_replica(8, 2, record_of("d")));
    CHECK(journal.add_replica(8, 1, record_of("again")));
}

TEST(account_journal, gives_a_dead_owners_copies_back_until_they_are_stored) {
    account_journal journal(7, 10);
    CHECK(journal.add_replica(8, 3, record_of("b")));
    CHECK(journal.add_replica(8, 5, record_of("c")));
    auto const orphans = *journal.recovery_segment(8);
    LONGS_EQUAL(3, orphans.first_sequence);
    LONGS_EQUAL(5, orphans.last_sequence);
    CHECK(orphans.recovered);
    journal.remove_replicas_through(8, 4);
    LONGS_EQUAL(1, journal.recovery_segment(8)->records.size());
    journal.remove_replicas_through(8, 5);
    CHECK(journal.replica_owners().empty());
    LONGS_EQUAL(0, journal.size());
}
