Feature: Every host follows the configuration, by the log or by its peers

  Background:
    Given 3 zones of 2 hosts that follow a log
    And a publication "first" is in force everywhere

  Scenario: A publication is in force everywhere soon
    When "second" is published
    Then within 2 s "second" is in force at every host

  Scenario: A host that the log does not reach follows a peer
    # b2 can read nothing; its peers announce a higher offset and it asks one for
    # the records, and folds them itself.
    When the log is out of reach of "b2"
    And "second" is published
    Then within 2 s "second" is in force at every host
    And host "b2" counted event "config_from_peer"

  Scenario: An outage of the log stands in the host's own log, once
    # The follower reads some times a second. A line for each failed read would
    # hide the others; none would leave the operator with a counter only.
    Given the host's log lines are kept
    When the log is out of reach of "b2"
    And 10 s pass for the followers
    And the log is in reach of "b2"
    And 10 s pass for the followers
    Then the kept lines are "config: The log does not answer.; config: The log answers again."

  Scenario: A whole zone that the log does not reach follows another zone
    When the log is out of reach of "c1, c2"
    And "second" is published
    Then within 3 s "second" is in force at every host

  Scenario: A fresh host starts while the log is down
    # It has no disk and no log: a peer gives it a snapshot.
    When the log is down for everyone
    And host "a2" is replaced
    Then within 10 s "first" is in force at every host

  Scenario: A zone is cut off from everything while operators go on
    # Zone c keeps what it had; the other zones go on. After the cut it takes up
    # the newest, and no host ever shows a lower offset than before.
    When zone "c" loses the log and the other zones
    And "second" is published
    And "third" is published
    Then within 3 s "third" is in force at hosts "a1, a2, b1, b2"
    And "first" is in force at hosts "c1, c2"
    When all is healed
    Then within 12 s "third" is in force at every host
    And no offset ever fell at any host

  Scenario: Retention drops the publication and a fresh host still starts
    # The owner writes a snapshot before the records are gone; the fresh host
    # reads nothing else of the past.
    When 300 publications that conflict are appended
    And retention keeps the last 40 records
    And 30 s pass for the followers
    And host "a2" is replaced without peers
    Then within 5 s "first" is in force at every host
    And host "a2" counted event "log_gap"

  Scenario: Hosts take turns to read a quiet log
    # Each would else poll it four times a second, which 390 hosts may not. What one
    # of them reads the others hear of, so a publication is in force as soon as before.
    When 60 s pass for the followers
    Then the log was read at most 5 times a second, and never left alone for 0.6 s
    When "second" is published
    Then within 1 s "second" is in force at every host

  Scenario: A host that slept past the horizon does not guess
    # The records between are gone. A publication behind the gap can't be judged
    # without what it is based on, so the host waits for a snapshot or a peer.
    When the log is out of reach of "b2"
    And host "b2" loses all peers
    And "second" is published
    And retention keeps the last 0 records
    And the log is in reach of "b2"
    And "third" is published
    Then "first" is in force at hosts "b2"
    When all is healed
    Then within 15 s "third" is in force at every host
    And no offset ever fell at any host

  Scenario: The log is restored at a lower offset
    # The restored log lacks "second". Its offsets would be given out again, and
    # fresh hosts would accept other records there. One host fills the log up and
    # writes what is in force, so old and fresh hosts agree again.
    When "second" is published
    Then within 2 s "second" is in force at every host
    When the log is restored without its last 1 records
    And 20 s pass for the followers
    Then "second" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When host "b1" is replaced without peers
    Then within 5 s "second" is in force at every host
    When "third" is published
    Then within 2 s "third" is in force at every host
    And no offset ever fell at any host

  Scenario: A stale or forged snapshot has no effect
    When "second" is published
    Then within 2 s "second" is in force at every host
    When a snapshot of "first" is appended
    And 3 s pass for the followers
    Then "second" is in force at hosts "a1, a2, b1, b2, c1, c2"
    And no offset ever fell at any host

  Scenario: The log is down for long
    # Everything in force stays so; once it is back, publications go on.
    When the log is down for everyone
    And 900 s pass for the followers
    Then "first" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When all is healed
    And "second" is published
    Then within 2 s "second" is in force at every host

  Scenario: Only signed publications count once operators have keys
    # Whoever can reach the log could else change the configuration.
    Given operators "ada" with keys
    When "second" is published by "ada" with a forged signature
    And "second" is published unsigned
    And 3 s pass for the followers
    Then "first" is in force at hosts "a1, a2, b1, b2, c1, c2"
    When "third" is published by "ada" with the right key
    Then within 2 s "third" is in force at every host

  Scenario: A publication that replaces anything starts a lost log anew
    When "anew" is published based on anything
    Then within 2 s "anew" is in force at every host
