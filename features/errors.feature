Feature: The closed list of errors

  Scenario: Each error kind has an answer
    Then every error kind has a status, a type and a not_run mark
    And every kind that says when to come back answers 409, 429, 502 or 503
    And docs/CALLERS.md holds the table of error kinds

  Scenario: Each refusal has its counter, and the metrics parse
    # A refusal that no counter shows leaves the operator without a reason.
    When every error kind is refused once
    Then the Prometheus text counts each kind once

  @fixture.small_fleet
  Scenario: Refusals at the border are counted and come with their fields
    # The caller sends what can't be read; nothing reaches an endpoint, the
    # answer names the field, and the counters add up to what callers saw.
    Given the Thistledown document is in force
    When a caller sends these bodies to host "a1"
      | body                                                            | status | code              | param      |
      | nonsense                                                        | 400    | invalid_request   | body       |
      | {"model": "note"}                                               | 400    | invalid_request   | messages   |
      | {"model": "note", "messages": [], "max_tokens": 0}              | 400    | invalid_request   | messages   |
      | {"model": "none", "messages": [{"role": "user", "content": ""}]} | 404   | class_unknown     | model      |
    Then the refusal counters of host "a1" add up to what the caller saw

  @fixture.small_fleet
  Scenario: Logs carry the request id, and no key or prompt
    # Logs go to places that callers' texts and keys must not reach. An engine
    # breaks the answer for good, so that the host has something to log.
    Given the Thistledown document is in force
    And engine "engine-a" breaks its next stream after 10 tokens
    When a caller with a secret prompt asks host "a1" and breaks off
    And a caller sends an unknown key to host "a1"
    Then no log of the hosts holds the keys or the prompt
    And each log line about a request carries its id

  @fixture.few_threads
  Scenario: More callers than threads
    # Each open stream holds a thread. Without a bound the next caller, and the
    # balancer's question whether the host is ready, would wait unseen behind
    # the streams. The caller is refused at once, and not run; the host answers.
    Given 6 open streams at a host with 8 threads
    When one more caller asks it for a "note"
    Then the caller is refused with "queue_full" and not_run "yes"
    And the host still says that it is ready
    And the 6 streams end whole
