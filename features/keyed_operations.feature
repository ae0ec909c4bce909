@fixture.small_fleet
Feature: A keyed operation runs at most once, as separate processes

  Background:
    Given the Thistledown document is in force with a correction timeout of 2 s

  Scenario: A repeat gets the recorded answer
    When a correction with key "k-1" is sent to host "a1"
    And a correction with key "k-1" is sent to host "b1" until answered
    Then both corrections were answered alike with 200
    And the second answer is marked as a replay
    And the correction "k-1" had 1 effect
    And host "c1" tells "ran" of key "k-1"

  Scenario: A nervous caller repeats at two hosts at once
    # The caller sends the same correction to two hosts in the same moment. Both
    # claim the key; the log orders the claims and one wins. The other caller is
    # told to ask again, and then gets the winner's answer.
    When a correction with key "k-2" is sent to hosts "a1" and "b1" at once, until answered
    Then both corrections were answered alike with 200
    And the correction "k-2" had 1 effect

  Scenario: The same key with another body
    When a correction with key "k-3" is sent to host "a1"
    And another correction with key "k-3" is sent to host "b1"
    Then the correction is refused as "idempotency_key_reused" with not_run "yes"
    And the correction "k-3" had 1 effect

  Scenario: A correction without a key
    When a correction without a key is sent to host "a1"
    Then the correction is refused as "idempotency_key_required" with not_run "yes"

  Scenario: A key that is older than the retention
    # The key's own time says that its records may be gone. Whether it ran can't
    # be told any more, so it is refused and not run again.
    When a correction with a key made 2 hours ago is sent to host "a1"
    Then the correction is refused as "idempotency_key_expired" with not_run "unknown"

  Scenario: The log is down
    # No claim can be made, so nothing is sent, and the caller is told so. The
    # same key runs once the log is back.
    Given the log is down
    When a correction with key "k-4" is sent to host "a1"
    Then the correction is refused as "log_unavailable" with not_run "yes"
    And the correction "k-4" had 0 effects
    When the log is back
    And a correction with key "k-4" is sent to host "b1"
    Then the correction is answered with 200
    And the correction "k-4" had 1 effect

  Scenario: The log's answer is lost after the claim took effect
    # The claim stands in the stream although its append got no answer. The host
    # reads it back, finds it the winner, and goes on.
    Given the log loses its next append's answer
    When a correction with key "k-5" is sent to host "a1"
    Then the correction is answered with 200
    And the correction "k-5" had 1 effect

  Scenario: The endpoint dies after the effect
    # The service corrects the record and breaks the connection. The caller is
    # told that the outcome is unknown; so is every repeat, and none runs again.
    Given each loan-records endpoint breaks its next call after the effect
    When a correction with key "k-6" is sent to host "a1"
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    When a correction with key "k-6" is sent to host "b1"
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    And the correction "k-6" had 1 effect
    And host "c1" tells "unknown" of key "k-6"

  Scenario: A host is stopped while its claim is under way, and resumes
    # The process is stopped while the log appends its claim, for longer than the
    # call's timeout. When it resumes, its claim wins, but its deadline has passed:
    # it sends nothing and releases the key. The repeat elsewhere then runs, once.
    Given the log takes 1 s for an append
    When a correction with key "k-7" is sent to host "a1", which is stopped 0.5 s later for 4 s
    Then the correction is refused with not_run "yes"
    And the correction "k-7" had 0 effects
    When the log is back
    And a correction with key "k-7" is sent to host "b1" until answered
    Then the correction is answered with 200
    And the correction "k-7" had 1 effect

  Scenario: A host is killed while its call runs
    # The host has sent the call and dies before the answer. Its claim stands and
    # nobody can tell what came of it: the repeat says unknown and runs nothing.
    Given each loan-records endpoint takes 1.5 s before its effect
    When a correction with key "k-8" is sent to host "a1", which is killed 0.8 s later
    And a correction with key "k-8" is sent to host "b1" until it is not in progress
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    And the correction "k-8" had 1 effect after 2 s
