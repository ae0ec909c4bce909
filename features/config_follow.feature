Feature: Every host follows the configuration in the log or from its peers

  Background:
    Given 3 zones of 2 hosts that follow a log
    And a publication "first" is in force everywhere

  Scenario: A publication is soon in force everywhere
    When "second" is published
    Then within 2 s "second" is in force at every host

  Scenario: A host that can't read the log follows a peer
    # b2 can't read the log. Its peers announce a higher offset, and it requests the records from one
    # of them and folds them itself.
    When the log is unreachable from "b2"
    And "second" is published
    Then within 2 s "second" is in force at every host
    And host "b2" counted event "config_from_peer"

  Scenario: An outage of the log is reported once in the host's log lines
    # The follower reads several times a second. Guards against a line for each failed read, which
    # would hide other lines, and against none, which would leave operators only a counter.
    Given the host's log lines are recorded
    When the log is unreachable from "b2"
    And 10 s pass for the followers
    And the log is reachable again from "b2"
    And 10 s pass for the followers
    Then the recorded lines are "config: The configuration log cannot be read, so peers are queried.; config: The configuration log can be read again."

  Scenario: A whole zone that can't read the log follows another zone
    When the log is unreachable from "c1, c2"
    And "second" is published
    Then within 3 s "second" is in force at every host

  Scenario: A new host starts while the log is down
    # It has neither stored state nor a log, so a peer sends it a snapshot.
    When the log is down for everyone
    And host "a2" is replaced
    Then within 10 s "first" is in force at every host

  Scenario: A zone is partitioned from everything while operators publish
    # Zone c keeps its configuration while the other zones get new ones. After the partition it gets
    # the newest, and no host ever goes back to a lower offset.
    When zone "c" loses the log and the other zones
    And "second" is published
    And "third" is published
    Then within 3 s "third" is in force at hosts "a1, a2, b1, b2"
    And "first" is in force at hosts "c1, c2"
    When all faults are cleared
    Then within 12 s "third" is in force at every host
    And the offset never decreased at any host

  Scenario: A new host starts after retention has dropped the publication
    # The owner writes a snapshot before the records are dropped, and the new host reads nothing
    # older.
    When 300 publications that conflict are appended
    And retention keeps the last 40 records
    And 30 s pass for the followers
    And host "a2" is replaced without peers
    Then within 5 s "first" is in force at every host
    And host "a2" counted event "log_gap"

  Scenario: Hosts share the polling of an idle log
    # Guards against each host polling it four times a second, which is too much with 390 hosts. A
    # host that reads a record announces it, so that publications are in force as soon as before.
    When 60 s pass for the followers
    Then the log was read at most 5 times a second, with no pause of 0.6 s or more
    When "second" is published
    Then within 1 s "second" is in force at every host

  Scenario: A host that missed dropped records waits for a snapshot or a peer
    # The records in between were dropped. A publication behind the gap can't be checked without the
    # publication that it is based on.
    When the log is unreachable from "b2"
    And host "b2" loses all peers
    And "second" is published
    And retention keeps the last 0 records
    And the log is reachable again from "b2"
    And "third" is published
    Then "first" is in force at hosts "b2"
    When all faults are cleared
    Then within 15 s "third" is in force at every host
    And the offset never decreased at any host

  Scenario: The log is restored at a lower offset
    # The restored log lacks "second", and its offsets would be assigned again, so that new hosts
    # would accept other records there. One host appends fillers and then a snapshot of the
    # configuration in force, so that old and new hosts agree again.
    When "second" is published
    Then within 2 s "second" is in force at every host
    When the log is restored without its last 1 records
    And 20 s pass for the followers
    Then "second" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When host "b1" is replaced without peers
    Then within 5 s "second" is in force at every host
    When "third" is published
    Then within 2 s "third" is in force at every host
    And the offset never decreased at any host

  Scenario: A stale or forged snapshot has no effect
    When "second" is published
    Then within 2 s "second" is in force at every host
    When a snapshot of "first" is appended
    And 3 s pass for the followers
    Then "second" is in force at hosts "a1, a2, b1, b2, c1, c2"
    And the offset never decreased at any host

  Scenario: The log is down for a long time
    # The configuration stays in force, and publications are possible once the log is back.
    When the log is down for everyone
    And 900 s pass for the followers
    Then "first" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When all faults are cleared
    And "second" is published
    Then within 2 s "second" is in force at every host

  Scenario: Only signed publications are accepted once operators have keys
    # Guards against configuration changes by anyone who can reach the log.
    Given operators "ada" with keys
    When "second" is published by "ada" with a forged signature
    And "second" is published unsigned
    And 3 s pass for the followers
    Then "first" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When "third" is published by "ada" with the right key
    Then within 2 s "third" is in force at every host

  Scenario: A publication that replaces any configuration restarts a lost log
    When "anew" is published based on anything
    Then within 2 s "anew" is in force at every host
