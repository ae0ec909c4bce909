Feature: Reports of the example firms list violated guarantees

  Scenario Outline: A report lists a violated guarantee
    # The report compares the outcomes that callers observed with the effects at the services
    # and the bills in the log. "none" marks the consistent histories; every other row must be
    # reported as a violation.
    Given an operation whose outcome for its caller is <outcome>, with <effects> effects
    And 10 answers that cost 1.0 and <bills> bills in the log with a chat total of <amount>
    When the guarantees are checked
    Then the report lists the violation "<violation>"

    Examples:
      | outcome  | effects | bills | amount | violation          |
      | answered | 1       | 11    | 1.0    | none               |
      | answered | 2       | 11    | 1.0    | effect doubled     |
      | answered | 0       | 11    | 1.0    | effect lost        |
      | refused  | 1       | 10    | 1.0    | 'not run' untrue   |
      | unknown  | 1       | 10    | 1.0    | none               |
      | answered | 1       | 9     | 1.0    | 9 bills for 11     |
      | answered | 1       | 12    | 1.0    | 12 bills for 11    |
      | answered | 1       | 11    | 0.9    | billed 0.900000    |

  Scenario: A report compares the cost with that of the oracle and of the best version
    # One answer by each of two versions. Together they cost less than two answers of the best
    # version, and more than two of the oracle's, which picks the cheapest version that meets
    # the target.
    Given a "note" answered by larch:1 and by spruce:1 in the phase "calm"
    When the phase is measured
    Then its cost is 5.50 times the oracle's and 0.55 times the best version's
