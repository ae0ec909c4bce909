Feature: Retries

  Scenario: An outage adds at most a tenth to the load
    # Every call fails. Each first attempt earns a tenth of a retry, so that
    # however long the outage lasts the endpoints see 1.1 times the offered load,
    # and a fixed handful that the budget held when it began.
    Given a retry budget that is full
    When 5000 first attempts fail, and each asks for retries
    Then at most 1.1 times 5000 calls and 10 more were sent
    And the refusals name "retry_budget_exhausted"

  Scenario Outline: Work that may have run is only repeated when that is harmless
    Given a retry budget that is full
    When attempt <attempts> fails, started "<started>", repeatable "<repeatable>", with <left> s left
    Then the retry decision is "<decision>"

    Examples:
      | attempts | started | repeatable | left | decision                  |
      | 1        | no      | no         | 5.0  | retry                     |
      | 1        | yes     | yes        | 5.0  | retry                     |
      | 1        | yes     | no         | 5.0  | operation_outcome_unknown |
      | 3        | no      | yes        | 5.0  | no_endpoint               |
      | 3        | yes     | yes        | 5.0  | endpoint_failed           |
      | 1        | no      | yes        | 0.0  | deadline_unreachable      |
      | 1        | yes     | yes        | 0.0  | endpoint_failed           |

  Scenario: Pauses grow and are spread
    Given a retry budget that is full
    Then the pauses after attempt 1 lie between 0.0 and 0.02 s and differ
    And the pauses after attempt 2 lie between 0.0 and 0.04 s and differ

  Scenario: A retry goes to another engine first
    Given a dispatch over engines "e1, e2" of 4 places
    When a chat of importance 5 starts at 0.0
    And its attempt breaks at 0.1 with "connect", not started
    Then its second attempt is at the other engine

  Scenario: A refusal after an attempt that began doesn't say "not run"
    # The first engine broke off, then all became unreachable. A "not run" would
    # be untrue, since the first may have generated.
    Given a dispatch over engines "e1" of 4 places
    When a chat of importance 5 starts at 0.0
    And its attempt breaks at 0.1 with "broken", started
    And its attempt breaks at 0.2 with "broken", started
    And its attempt breaks at 0.3 with "broken", started
    Then the dispatch gives up with "endpoint_failed"

  Scenario: What the last seconds earned is there when it is needed
    # Doubtful answers come in runs. A budget that keeps only a few repeats would turn the
    # later ones of a run away, although most of what the operators allow stays unused.
    Given a budget of 0.8 retries for each request of 10 s and 2 besides
    When 50 requests come in 9 s and none is repeated
    Then 42 of 60 retries that come at once are made
    And 2 more are made after 10 s without requests
