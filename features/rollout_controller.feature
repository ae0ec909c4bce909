Feature: Recording of the phases of a roll-out

  Scenario: A phase is recorded once when the store's answer is lost
    # The store appends the phase, but its answer is lost. The host must not record the phase again:
    # it reads the recorded phases before it appends anything more.
    Given a rollout controller and a roll-out of a bad version
    When the answer to its next append is lost and it runs 4 rounds
    Then the only recorded phase is "rolled_back"

  Scenario: A host that loses a race adopts the other host's record
    # Two hosts have the same evidence. The other one records first, between this host's read and
    # its append, which the store rejects; what is recorded must stay.
    Given a rollout controller and a roll-out of a bad version
    When another host records "completed" just before its next append and it runs 4 rounds
    Then the only recorded phase is "completed"
    And the controller has adopted "completed"

  Scenario: A host waits for its turn, and takes over from one that is gone
    # The host of the first rank is dead or cut off. The next one must record the phase itself after
    # a delay, so that a bad version gets no more callers.
    Given a rollout controller of second rank and a roll-out of a bad version
    When it runs 2 rounds
    Then no phase is recorded
    When its takeover delay of 1.2 s has passed and it runs 2 rounds
    Then the only recorded phase is "rolled_back"

  Scenario: A controller that was suspended does not overwrite a final phase
    # It judged the roll-out and was suspended; meanwhile another host recorded the final phase.
    Given a rollout controller and a roll-out of a bad version
    When another host records "rolled_back" while it is suspended and it runs 4 rounds
    Then the only recorded phase is "rolled_back"

  Scenario: Operators are told once of a version that fails after its completion
    # Guards against callers that get failed answers for minutes while no line says why.
    Given a rollout controller and a roll-out of a bad version
    When another host records "completed" while it is suspended and it runs 4 rounds
    And it looks 3 times for versions that fail after their completion
    Then one event tells that "v2" gave 8 bad answers of 8
