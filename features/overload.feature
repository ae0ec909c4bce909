@fixture.narrow_fleet
Feature: Overload, as separate processes

  Background:
    Given the overload document is in force

  Scenario: The pool runs out
    # Two engines of two places take four requests. Sixteen more can't start
    # within half a second: each hears so at once and when to come back, no engine
    # sees them, and the host's counters name as many refusals as callers saw.
    When 20 clients ask for a "quick" at once
    Then between 1 and 8 of them are answered and the rest are refused at once
    And each refusal says "not run" and when to come back
    And the host's counters add up to the refusals seen
    And the engines began as many as were answered

  Scenario: Another allowed version has room
    # The account may use both versions. The cheaper one's engines are full; what
    # would wait too long there runs on the other version instead.
    When 6 clients that may use both versions ask for a "quick" at once
    Then some answers come from "larch:1" and some from "spruce:1"

  Scenario: The important work goes first when the pool is full
    # Reports fill both engines, and more of them wait. The couple at the counter
    # comes last and is answered before the waiting reports.
    When 8 clients ask for a "report" at once
    And a client asks for an "urgent" a moment later
    Then the "urgent" is answered before the last "report"

  Scenario: An engine dies in mid-stream
    # The rest of the answer exists nowhere else. The caller gets what came, and
    # then a typed end that says so; the next request goes to the other engine.
    When a client streams a "report" and its engine is killed in the middle
    Then the stream ends with "answer_incomplete"
    And the next "report" is answered
