Feature: Retries

  Scenario: An outage adds at most a tenth to the load
    # Every call fails. Each first attempt earns a tenth of a retry, so that the endpoints get
    # at most 1.1 times the offered load however long the outage lasts, plus the retries that
    # the budget held at its start.
    Given a retry budget that is full
    When 5000 first attempts fail, and each asks for retries
    Then at most 1.1 times 5000 calls and 10 more were sent
    And the refusals name "retry_budget_exhausted"

  Scenario Outline: A request that may have run is only retried if it is idempotent
    Given a retry budget that is full
    When attempt <attempts> fails, started "<started>", idempotent "<idempotent>", with <left> s left
    Then the retry decision is "<decision>"

    Examples:
      | attempts | started | idempotent | left | decision                  |
      | 1        | no      | no         | 5.0  | retry                     |
      | 1        | yes     | yes        | 5.0  | retry                     |
      | 1        | yes     | no         | 5.0  | operation_outcome_unknown |
      | 3        | no      | yes        | 5.0  | no_endpoint               |
      | 3        | yes     | yes        | 5.0  | endpoint_failed           |
      | 1        | no      | yes        | 0.0  | deadline_unreachable      |
      | 1        | yes     | yes        | 0.0  | endpoint_failed           |

  Scenario: Retry delays grow and have jitter
    Given a retry budget that is full
    Then the delays after attempt 1 lie between 0.0 and 0.02 s and differ
    And the delays after attempt 2 lie between 0.0 and 0.04 s and differ

  Scenario: A retry goes to another engine first
    Given a dispatcher over engines "e1, e2" of 4 slots
    When a chat of importance 5 starts at 0.0
    And its attempt breaks at 0.1 with "connect", not started
    Then its second attempt is at the other engine

  Scenario: A refusal after an attempt that started doesn't say "not run"
    # The first engine's connection broke, then all engines became unreachable. "not run"
    # would be wrong, since the first engine may have generated an answer.
    Given a dispatcher over engines "e1" of 4 slots
    When a chat of importance 5 starts at 0.0
    And its attempt breaks at 0.1 with "broken", started
    And its attempt breaks at 0.2 with "broken", started
    And its attempt breaks at 0.3 with "broken", started
    Then the dispatcher gives up with "endpoint_failed"

  Scenario: A burst of retries may use what the requests of the whole window earned
    # Doubtful answers come in bursts. A token bucket that holds only a few retries would
    # refuse the later ones of a burst, although most of the operators' limit stays unused.
    Given a budget of 0.8 retries per request over 10 s and 2 in addition
    When 50 requests come in 9 s and none is retried
    Then 42 of 60 retries that come at once are made
    And 2 more are made after 10 s without requests
