@fixture.small_fleet
Feature: Answers are complete or end with an error, and are billed once

  Background:
    Given answers are slow under the Thistledown document

  Scenario: A stream is resumed at another engine with its KV cache
    # The engine breaks the stream after 20 tokens and refuses to resume it. Its KV cache is
    # moved to another engine, which resumes the stream: the caller gets one complete answer.
    When a slow "long-report" is streamed from host "a1", and its engine breaks it after 20 tokens
    Then the slow stream has 40 words and a clean end
    And some engine imported 21 tokens
    And the statement of "borough-north" has 1 more bill

  Scenario: An answer that isn't streamed is generated again if its engine dies
    # The engine dies after some tokens. The caller has received nothing, so another engine
    # generates the whole answer, and no two generations are mixed.
    When a slow "note" is requested from host "b1", and its engine is killed 0.5 s later
    Then the slow answer has 40 words
    And the statement of "borough-north" has 1 more bill

  Scenario: A stream ends with an error if its engine dies
    # The caller has received some tokens, and another generation wouldn't continue them. The
    # stream ends with an error event and without its end marker, and the tokens that the caller
    # received are billed.
    When a slow "long-report" is streamed from host "a1", and its engine is killed 0.5 s later
    Then the slow stream ends with "answer_incomplete" and no clean end
    And the statement of "borough-north" has 1 more bill

  Scenario: A stream is cancelled when its caller disconnects
    When a slow "long-report" is streamed from host "c1" and its caller disconnects after 5 chunks
    Then some engine cancelled the stream
    And the statement of "borough-north" has 1 more bill

  Scenario: A host is killed between an answer and the batch with its bill
    # The bill isn't in the log yet when its host dies. The peers that have a copy append it
    # instead, and only once.
    When a slow "note" is requested from host "c1", which is killed right after its answer
    Then the slow answer has 40 words
    And the statement of "borough-north" has 1 more bill
    And the statement is the same a second time
