Feature: The firms' reports find what did not hold

  Scenario Outline: A report names a broken promise
    # The report compares what callers were told with what the services did and
    # what the log bills. Each line is a history that must be found, but the first.
    Given a caller who was told that its operation was <told>, with <effects> effects
    And 10 answers worth 1.0 for which <bills> bills over <amount> stand in the log
    When the promises are checked
    Then the report says "<broken>"

    Examples:
      | told     | effects | bills | amount | broken             |
      | answered | 1       | 11    | 1.0    | none               |
      | answered | 2       | 11    | 1.0    | effect doubled     |
      | answered | 0       | 11    | 1.0    | effect lost        |
      | refused  | 1       | 10    | 1.0    | 'not run' untrue   |
      | unknown  | 1       | 10    | 1.0    | none               |
      | answered | 1       | 9     | 1.0    | 9 bills for 11     |
      | answered | 1       | 12    | 1.0    | 12 bills for 11    |
      | answered | 1       | 11    | 0.9    | billed 0.900000    |

  Scenario: A report compares cost with the oracle's and the best version's
    # Two answers, one by each version: half the cost of the best version's, and
    # above the oracle's, which takes the cheap one where it meets the target.
    Given a "note" answered by larch:1 and by spruce:1 in the phase "calm"
    When the phase is measured
    Then its cost is 5.50 times the oracle's and 0.55 times the best version's
