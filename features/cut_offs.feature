@fixture.small_fleet
Feature: What goes on while the platform's log is out of reach

  Background:
    Given the Thistledown document is in force
    And the log is out of reach of all hosts

  Scenario: Chats go on under the configuration in force
    When a client of "borough-north" asks host "a1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: Idempotent calls of plain services go on
    When "borough-north" calls "loan-records/lookup" at host "a1"
    Then the call answers 200

  Scenario: A publication is refused with a reason
    # The operator's tool reads the accepted offset first, and can't.
    When an operator publishes the Thistledown document
    Then the command fails and says that the log did not answer

  Scenario: A host is replaced while the log is out
    # The fresh process has no disk and no log; a peer gives it the configuration.
    When host "c1" is killed and started anew
    Then host "c1" becomes ready with the offset of host "a1"
    When a client of "borough-north" asks host "c1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: Status shows how old the log's last answer is
    When 1 s passes in real time
    Then host "a1" shows a log age above 0.5 s
