Feature: Larger models under load, by the urgency of requests, where the cache of a token is small

  Background:
    Given a host with engines of a small cache per token
    And a route "quick" of priority 0 with a target of 2.0 s and a route "slow" of priority 2

  Scenario: Behind a queue an urgent request still gets the larger model, a less urgent one doesn't
    # Load: a burst of long prompts. Each larger answer to a less urgent request would delay several
    # urgent ones, which are worth more to the callers.
    When most of the prefill time of the last seconds went to "quick"
    Then behind 1.0 s of prompts a doubtful answer on "quick" is asked again, and one on "slow" isn't

  Scenario: Without a queue both get it
    # Capacity that nobody waits for costs nothing, whoever uses it.
    When most of the prefill time of the last seconds went to "quick"
    Then behind 0.0 s of prompts a doubtful answer on "quick" is asked again, and one on "slow" is

  Scenario: A less urgent request that delays no urgent one is not withheld
    # Load: a queue of less urgent prompts only, as when the urgent kind is rare.
    When most of the prefill time of the last seconds went to "slow"
    Then behind 1.0 s of prompts a doubtful answer on "slow" is asked again

  Scenario: A short prompt is not withheld
    # It takes an engine some hundredths of a second. If its larger model were withheld like that of
    # a long one, the callers would get poor answers and nobody would be served sooner.
    When most of the prefill time of the last seconds went to "quick"
    Then behind 1.0 s of prompts a doubtful answer to a prompt of 300 tokens on "slow" is asked again

  Scenario: The priority of the account goes before that of the route
    # An account with priority 0 pays for being first, by whatever route it calls.
    When most of the prefill time of the last seconds went to "quick"
    Then behind 1.0 s of prompts a doubtful answer on "slow" of an account of priority 0 is asked again
    And behind 1.0 s of prompts a doubtful answer on "quick" of an account of priority 2 is kept

  Scenario: Urgent sends are forgotten within seconds
    # Load: a burst of the urgent kind has ended. The others would keep poor answers for no reason.
    When most of the prefill time of the last seconds went to "quick"
    And 30.0 s pass in which only "slow" is sent
    Then behind 1.0 s of prompts a doubtful answer on "slow" is asked again

  Scenario: A host that has sent little withholds nothing
    # A host that has just started has seen one urgent prompt. It says nothing of the load.
    When one prompt of 0.02 s went to "quick"
    Then behind 1.0 s of prompts a doubtful answer on "slow" is asked again

  Scenario: Other priorities take effect with the configuration
    # The operators raise the priority of a route because its callers complain. Until its sends of
    # the past were forgotten, they would keep poor answers.
    When most of the prefill time of the last seconds went to "quick"
    And a configuration gives "slow" the priority 0 and "quick" the priority 2
    Then behind 1.0 s of prompts a doubtful answer on "slow" is asked again

  Scenario: The target of a new most urgent route takes effect with the configuration
    # A route with a short target is added. A queue of half of its target is too long for it, though
    # this host has not sent one of its requests yet.
    When most of the prefill time of the last seconds went to "quick"
    Then behind 0.4 s of prompts a doubtful answer on "quick" is asked again
    When a configuration adds a route of priority 0 with a target of 0.4 s
    Then behind 0.4 s of prompts a doubtful answer on "quick" is kept

  Scenario: A request whose route is gone from the configuration is still decided
    # A request is under way when the operators take away all routes to its service.
    When most of the prefill time of the last seconds went to "quick"
    And a configuration without routes arrives while a request on "quick" is under way
    Then behind 1.0 s of prompts its doubtful answer is asked again

  Scenario: Engines with a large cache per token are decided about as before
    # These installations are tuned, and their load is another one. A changed rule would cost them.
    Given a size policy that has seen urgent sends
    Then 20000 decisions about engines with a large cache per token are the same as before the rule
    And the same for engines that state no cache per token

  Scenario: The host counts why answers of low confidence are kept, and not the good ones
    # Operators see poor answers. They must be able to tell a lack of engines from one of budget.
    Then an answer of confidence 0.3 is kept and counted as follows
      | case                                      | counter                             |
      | 1.9 s of prompts wait                     | larger_model_not_asked_queue        |
      | no time is left until the target          | larger_model_not_asked_late         |
      | the second sends are used up              | larger_model_not_asked_budget       |
      | the version of its session has no engine  | larger_model_not_asked_no_endpoint  |
    And an answer of confidence 0.9 is kept and nothing counted in each case

  Scenario: In bursts the most urgent kind gets more good answers in time
    # Load: 81 hosts, 45 engines, the first customer's traffic, of which one kind at a time rises to
    # 1.5 to 2.5 times. Compared with a rule that weighs the queue alike for all.
    When the load of the "first" customer is played by urgency and alike
    Then the share of good answers in time of "long" rises by at least 0.01
    And that of "middle" and "short" stays above 0.95
