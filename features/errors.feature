Feature: The closed list of errors

  Scenario: Each error kind has an HTTP response
    Then every error kind has a status, a type and a not_run value
    And every kind with a retry delay has status 409, 429, 502 or 503
    And docs/CALLERS.md contains the table of error kinds

  Scenario: Each refusal has its counter, and the metrics parse
    # Without a counter for each error kind, an operator can't see why requests are refused.
    When one request is refused with each error kind
    Then the Prometheus text counts each kind once

  @fixture.small_fleet
  Scenario: Invalid requests are refused with the invalid field, and counted
    # Requests that fail validation must not reach an endpoint; the response names the
    # field, and the counters agree with the refusals that the caller received.
    Given the Thistledown document is in force
    When a caller sends these bodies to host "a1"
      | body                                                            | status | code              | param      |
      | nonsense                                                        | 400    | invalid_request   | body       |
      | {"model": "note"}                                               | 400    | invalid_request   | messages   |
      | {"model": "note", "messages": [], "max_tokens": 0}              | 400    | invalid_request   | messages   |
      | {"model": "none", "messages": [{"role": "user", "content": ""}]} | 404   | class_unknown     | model      |
    Then the refusal counters of host "a1" match the refusals that the caller received

  @fixture.small_fleet
  Scenario: Logs carry the request id, and no key or prompt
    # Logs are shipped to systems that must not see prompts or API keys. An engine breaks
    # off the answer for good, so that the host logs something about the request.
    Given the Thistledown document is in force
    And engine "engine-a" breaks its next stream after 10 tokens
    When a caller sends a secret prompt to host "a1" and disconnects
    And a caller sends an unknown key to host "a1"
    Then no log of the hosts contains the keys or the prompt
    And each log line about a request has its id

  @fixture.few_threads
  Scenario: More callers than threads
    # Each open stream occupies a thread. Without a bound, the next caller and the load
    # balancer's readiness probe would wait unnoticed behind the streams. The caller must be
    # refused at once without being executed, and the probe must still be answered.
    Given 6 open streams at a host with 8 threads
    When one more caller sends it a "note" request
    Then the caller is refused with "queue_full" and not_run "yes"
    And the host still reports that it is ready
    And the 6 streams complete
