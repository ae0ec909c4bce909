Feature: Who records the phases of a roll-out

  Scenario: A phase whose answer is lost is recorded once
    # The store takes the phase and its answer is lost. The host must not record it again:
    # it reads what is recorded before it writes anything more.
    Given a store and a steward of a bad roll-out
    When the answer to its next append is lost and it looks 4 times
    Then the store holds the phases "rolled_back" only

  Scenario: A host that lost the race takes the other's word
    # Two hosts see the same evidence. The other one records first, between this one's
    # read and its append, which is turned away; what is recorded stays.
    Given a store and a steward of a bad roll-out
    When another host records "completed" just before its next append and it looks 4 times
    Then the store holds the phases "completed" only
    And the steward has taken "completed" over

  Scenario: A host waits for its turn, and takes over from one that is gone
    # The first in line is dead or cut off. The next one records the phase itself after
    # its turn, so that a bad version isn't left to its callers.
    Given a store and a steward of a bad roll-out that is second in line
    When it looks 2 times
    Then the store holds no phase
    When its turn of 1.2 s has passed and it looks 2 times
    Then the store holds the phases "rolled_back" only

  Scenario: A steward that was paused never writes over a final phase
    # It judged the roll-out and was suspended; meanwhile another host recorded the end.
    Given a store and a steward of a bad roll-out
    When another host records "rolled_back" while it is suspended and it looks 4 times
    Then the store holds the phases "rolled_back" only
