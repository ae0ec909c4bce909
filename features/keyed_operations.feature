@fixture.small_fleet
Feature: A keyed operation runs at most once, as separate processes

  Background:
    Given the Thistledown document is in force with a correction timeout of 2 s

  Scenario: A repeat gets the recorded answer
    When a correction with key "k-1" is sent to host "a1"
    And a correction with key "k-1" is sent to host "b1" until answered
    Then both corrections got the same answer with 200
    And the second answer is marked as a replay
    And the correction "k-1" had 1 effect
    And host "c1" reports "ran" for key "k-1"

  Scenario: A caller sends the same key to two hosts at once
    # The caller sends the same correction to two hosts at the same moment. Both claim
    # the key; the log orders the claims and one wins. The other call is answered as in
    # progress; its repeat gets the winner's answer.
    When a correction with key "k-2" is sent to hosts "a1" and "b1" at once, until answered
    Then both corrections got the same answer with 200
    And the correction "k-2" had 1 effect

  Scenario: The same key with another body
    When a correction with key "k-3" is sent to host "a1"
    And another correction with key "k-3" is sent to host "b1"
    Then the correction is refused as "idempotency_key_reused" with not_run "yes"
    And the correction "k-3" had 1 effect

  Scenario: A correction without a key
    When a correction without a key is sent to host "a1"
    Then the correction is refused as "idempotency_key_required" with not_run "yes"

  Scenario: A key older than the retention is refused
    # The time in the key shows that its records may be gone. It is unknown whether it
    # ran, so it must be refused and not run again.
    When a correction with a key created 2 hours ago is sent to host "a1"
    Then the correction is refused as "idempotency_key_expired" with not_run "unknown"

  Scenario: The log is down
    # No claim can be made, so nothing must be sent, and the caller gets an error that
    # says so. The same key runs once the log is back.
    Given the log is down
    When a correction with key "k-4" is sent to host "a1"
    Then the correction is refused as "log_unavailable" with not_run "yes"
    And the correction "k-4" had 0 effects
    When the log is back
    And a correction with key "k-4" is sent to host "b1"
    Then the correction is answered with 200
    And the correction "k-4" had 1 effect

  Scenario: The answer to the append of a claim is lost
    # The claim is in the stream although its append got no answer. The host must read
    # it back, find that it won, and go on.
    Given the log loses its next append's answer
    When a correction with key "k-5" is sent to host "a1"
    Then the correction is answered with 200
    And the correction "k-5" had 1 effect

  Scenario: The endpoint breaks the connection after the effect
    # The service corrects the record and breaks the connection. The call and every
    # repeat must be answered as of unknown outcome, and none may run again.
    Given each loan-records endpoint breaks its next call after the effect
    When a correction with key "k-6" is sent to host "a1"
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    When a correction with key "k-6" is sent to host "b1"
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    And the correction "k-6" had 1 effect
    And host "c1" reports "unknown" for key "k-6"

  Scenario: A host is stopped while its claim is appended, and resumes
    # The process is stopped while the log appends its claim, for longer than the call's
    # timeout. When it resumes, its claim has won but its deadline has passed: it must
    # send nothing and release the key. The repeat at another host then runs, once.
    Given the log takes 1 s for an append
    When a correction with key "k-7" is sent to host "a1", which is stopped 0.5 s later for 4 s
    Then the correction is refused with not_run "yes"
    And the correction "k-7" had 0 effects
    When the log is back
    And a correction with key "k-7" is sent to host "b1" until answered
    Then the correction is answered with 200
    And the correction "k-7" had 1 effect

  Scenario: A host is killed during its call
    # The host has sent the call and dies before the answer. Its claim holds the key and
    # the result is not known: the repeat must be answered as of unknown outcome and run
    # nothing.
    Given each loan-records endpoint takes 1.5 s before its effect
    When a correction with key "k-8" is sent to host "a1", which is killed 0.8 s later
    And a correction with key "k-8" is sent to host "b1" until it is not in progress
    Then the correction is refused as "operation_outcome_unknown" with not_run "unknown"
    And the correction "k-8" had 1 effect after 2 s
