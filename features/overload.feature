@fixture.narrow_fleet
Feature: Overload, as separate processes

  Background:
    Given the overload document is in force

  Scenario: All slots of the pool are taken
    # Two engines of two slots run four requests. Most of the sixteen others can't start within
    # half a second: each is refused at once with the time of a retry, no engine gets it, and
    # the host's counters show as many refusals as callers got.
    When 20 clients ask for a "quick" at once
    Then between 1 and 8 of them are answered and the rest are refused at once
    And each refusal says "not run" and when to retry
    And the host's counters add up to the refusals that callers got
    And the engines started as many as were answered

  Scenario: Requests run on another allowed version when one is full
    # The account may use both versions. The engines of the cheaper one are full, and requests
    # that would wait there too long run on the other version.
    When 6 clients that may use both versions ask for a "quick" at once
    Then some answers come from "larch:1" and some from "spruce:1"

  Scenario: Important requests start first when the pool is full
    # Reports fill both engines, and more of them are queued. The urgent request comes last and
    # is answered before the queued reports.
    When 8 clients ask for a "report" at once
    And a client asks for an "urgent" a moment later
    Then the "urgent" is answered before the last "report"

  Scenario: An engine dies in the middle of a stream
    # The rest of the answer exists nowhere else. The caller gets the part that arrived
    # and an error event that says so; the next request goes to the other engine.
    When a client streams a "report" and its engine is killed in the middle
    Then the stream ends with "answer_incomplete"
    And the next "report" is answered
