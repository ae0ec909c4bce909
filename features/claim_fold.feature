Feature: The log's order decides who holds an idempotency key

  Scenario: The first claim in offset order wins
    # Two hosts append claims of one key, each taking itself for the shard's owner.
    # Every reader sees the same order, so all give the key to the same claim.
    Given the claim records "claim a1 k, claim b1 k"
    Then claim "a1" is judged "Won"
    And claim "b1" is judged "Taken"

  Scenario: A claim that was appended twice counts once
    Given the claim records "claim a1 k, claim b1 k, claim a1 k, release a1 k, claim a1 k"
    Then claim "a1" is judged "Voided"
    And claim "b1" is judged "Taken"
    And key "k" is held by "nobody"

  Scenario: After a release a later claim wins, never an earlier one
    Given the claim records "claim a1 k, claim b1 k, release a1 k, claim c1 k"
    Then claim "b1" is judged "Taken"
    And claim "c1" is judged "Won"

  Scenario: A claim is appended after its release
    # The append of a claim got no answer; its host gave it up and released it. The
    # claim's record is appended later. It must not hold the key, which would be held
    # for ever by a host that will never run it.
    Given the claim records "release a1 k, claim a1 k, claim b1 k"
    Then claim "a1" is judged "Voided"
    And claim "b1" is judged "Won"

  Scenario: A release after the outcome changes nothing
    Given the claim records "claim a1 k, outcome a1 k, release a1 k, claim b1 k"
    Then claim "b1" is judged "Taken"
    And key "k" is held by "a1"

  Scenario: One host's clock is a day ahead
    # If the record ended the retention of every key, a repeat of a key that ran would
    # win and run again.
    Given the claim records "claim a1 k, outcome a1 k, claim b1 other +86400, claim c1 k"
    Then claim "c1" is judged "Taken"

  Scenario: Keys older than the retention are dropped
    Given 2000 claims of other keys, 4 s apart, after the claim records "claim a1 k"
    Then key "k" is held by "nobody"
    And at most 901 keys are held

  Scenario: A host that starts from a snapshot agrees with one that read everything
    # The log has dropped the first records. A snapshot that was written before contains
    # the keys that they held.
    Given a shard with 40 random claims with seed 5, snapshots, and dropped records
    When a new host reads the shard
    Then both hosts hold the same keys

  Scenario: A host starts from a snapshot that is written in parts
    # The keys of an hour don't fit into one record. The parts are interleaved with
    # other records of two owners, which both write a snapshot at the same time.
    Given two owners of a shard that write snapshots in parts, between claims
    And the log has dropped all that the first snapshot covers
    When a new host reads the shard
    Then both hosts hold the same keys

  Scenario: The writer of a snapshot in parts dies before the last part
    # The incomplete snapshot must not count, not even in part: keys that it lacks would
    # run again. The complete one before it counts.
    Given two owners of a shard that write snapshots in parts, between claims
    And a later snapshot without its last part
    And the log has dropped all that the first snapshot covers
    When a new host reads the shard
    Then both hosts hold the same keys

  Scenario: Retention drops the first parts of a snapshot
    # The records that the snapshot covers are gone, and some of its parts with them.
    # Only a later snapshot counts, and a host must read on to it.
    Given two owners of a shard that write snapshots in parts, between claims
    And a later snapshot that is complete
    And the log has dropped the first parts of the first snapshot
    When a new host reads the shard
    Then both hosts hold the same keys
