Feature: One publication is accepted at each offset

  Scenario: Two operators race
    # Both publish on top of offset 0. The log orders the records, and every host's fold accepts the
    # first and rejects the second.
    Given an accepted publication by "ada"
    When "bob" and "cleo" both publish on top of it, bob first
    Then the verdicts are "Accepted, Accepted, Conflict"
    And the document in force is bob's

  Scenario: A publish whose answer was lost is retried
    # The append took effect but its answer was lost, and the operator's tool appends the record
    # again with the same id. The fold ignores the repeat.
    Given an accepted publication by "ada"
    When "bob" publishes and the answer is lost once
    Then the publication of "bob" is accepted once

  Scenario: A system withdrawal remains after an unrelated publication
    # The system withdraws a bad version, and an operator who doesn't know of it changes a limit.
    # Guards against a publication that reactivates the version, so that callers get bad answers.
    Given an accepted publication by "ada"
    When the system withdraws "larch:1"
    And "bob" and "cleo" both publish on top of it, bob first
    Then version "larch:1" is withdrawn

  Scenario: Hosts that read in pages of different sizes agree
    Given a stream of 40 random publications with seed 7
    When three hosts fold it in pages of 1, 7 and 500
    Then they have the same offset and document
