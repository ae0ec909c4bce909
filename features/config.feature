Feature: One publication wins at each offset

  Scenario: Two operators race
    # Both read offset 0 and publish. The log orders them; the fold accepts the
    # first and rejects the second at every host alike, whoever it was.
    Given an accepted publication by "ada"
    When "bob" and "cleo" both publish on top of it, bob first
    Then the verdicts are "Accepted, Accepted, Conflict"
    And the document in force is bob's

  Scenario: A publish whose answer was lost is retried
    # The append took effect and its answer was lost; the operator's tool
    # appends again with the same id. The fold drops the repeat.
    Given an accepted publication by "ada"
    When "bob" publishes and the answer is lost once
    Then the publication of "bob" stands in force once

  Scenario: A system withdrawal outlives an unrelated publication
    # The system withdraws a bad version; an operator who knows nothing of it
    # changes a limit. If the publication revived the version, callers would
    # get bad answers again.
    Given an accepted publication by "ada"
    When the system withdraws "larch:1"
    And "bob" and "cleo" both publish on top of it, bob first
    Then version "larch:1" is withdrawn

  Scenario: Hosts that read in different steps agree
    Given a stream of 40 random publications with seed 7
    When three hosts fold it in pages of 1, 7 and 500
    Then they hold the same offset and document
