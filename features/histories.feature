Feature: Histories of concurrent runs keep every rule

  Scenario Outline: The checker finds a bad history
    # The checker is worth nothing if it passes everything: each rule gets a
    # history that breaks it, and a good one beside it that breaks none.
    Given a good history of one operation
    When it is spoilt by <fault>
    Then the violations are "<rules>"

    Examples:
      | fault                             | rules                                              |
      | nothing                           | none                                               |
      | a second effect of the key        | at most one effect a key                           |
      | an effect of a request never sent | an effect belongs to a request                     |
      | a call sent after its deadline    | nothing is sent after its deadline                 |
      | a refusal of what ran             | not run is true                                    |
      | an answer cut short               | an answer is whole and its own                     |
      | another key's answer              | an answer is whole and its own                     |
      | an answer without an effect       | what is told as ran has run                        |
      | two answers to one request        | one answer a request                               |
      | an answer to nobody               | an answer belongs to a request                     |
      | a second bill                     | one bill a request                                 |
      | a bill of what never ran          | only what ran is billed                            |
      | a lost bill                       | what was answered is billed                        |
      | a key that never settles          | each key is settled at last                        |
      | a last word without an effect     | what is told as ran has run                        |

  Scenario Outline: Seeded schedules of faults
    # Six hosts in three zones take operations whose callers repeat at any host,
    # also at two at once, while hosts are killed and stopped at each step, the
    # log fails in every way, and zones are cut off. Time is virtual.
    When schedules <first> to <last> are run
    Then no rule is broken
    And at least <faults> kinds of fault struck

    Examples:
      | first | last | faults |
      | 2000  | 2011 | 25     |
      | 2012  | 2023 | 25     |

  Scenario: A schedule gives the same history each time
    When schedule 7 is run twice
    Then both histories are equal

  Scenario: A seed gives the same run each time
    # A violation that can't be run again can't be found. Seed 10 has stops and
    # refusing services, whose retries once waited by a source without a seed.
    When the schedules of seeds 2, 8 and 10 run twice each
    Then both runs of each have the same history
