@fixture.small_fleet
Feature: Account limits of plain services, as separate processes

  Scenario: A keyed operation above the limit is refused, and a repeat still gets its answer
    # The account may make one call in five seconds. The first correction runs. One
    # with a new key is refused: it won its key in the log, and released it unsent.
    # A repeat of the first key is above the limit too, and must get the recorded
    # answer: "not run" would tell the caller to do the work again.
    Given the Thistledown document is in force with 0.2 requests a second
    When a correction with key "l-1" is sent to host "a1"
    And corrections with new keys are sent to host "a1" until one is refused
    Then the refused one is "rate_limited" with not_run "yes" and a retry delay
    And it had no effect, and the host counts the refusal
    When a correction with key "l-1" is sent to host "a1"
    Then the second answer is marked as a replay
    And the correction "l-1" had 1 effect
    And the refused key runs once it is sent again after the retry delay
