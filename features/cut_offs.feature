@fixture.small_fleet
Feature: What works while the platform's log is unavailable

  Background:
    Given the Thistledown document is in force
    And the log is unavailable to all hosts

  Scenario: Chats work under the current configuration
    When a client of "borough-north" asks host "a1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: Idempotent calls of plain services work
    When "borough-north" calls "loan-records/lookup" at host "a1"
    Then the call answers 200

  Scenario: A publication is refused with a reason
    # The operator's tool must read the accepted offset first, which fails.
    When an operator publishes the Thistledown document
    Then the command fails and says that the log did not answer

  Scenario: A host is replaced while the log is unavailable
    # The new process has neither a disk nor the log; it gets the configuration from a peer.
    When host "c1" is killed and started again
    Then host "c1" becomes ready with the offset of host "a1"
    When a client of "borough-north" asks host "c1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: The status shows the age of the log's last answer
    When 1 s passes in real time
    Then host "a1" shows a log age above 0.5 s
