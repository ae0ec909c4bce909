@fixture.small_fleet
Feature: Answers are whole, or can be told from whole ones, and are billed once

  Background:
    Given answers come slowly under the Thistledown document

  Scenario: A stream goes on at another engine with its KV cache
    # The engine breaks the stream after 20 tokens and takes it back no more. Its
    # KV cache is moved to another engine, which goes on there: the caller sees
    # one answer.
    When a slow "long-report" is streamed from host "a1", and its engine breaks it after 20 tokens
    Then the slow stream has 40 words and a clean end
    And some engine imported 21 tokens
    And the statement of "borough-north" has 1 more bill

  Scenario: A whole answer is generated anew where its engine dies
    # The engine dies when it has generated some tokens. Nothing of the answer was
    # shown, so another engine generates all of it and nothing is mixed.
    When a slow "note" is asked of host "b1", and its engine is killed 0.5 s later
    Then the slow answer has 40 words
    And the statement of "borough-north" has 1 more bill

  Scenario: A shown stream whose engine dies has no clean end
    # The caller has seen some tokens; another generation would not fit them. The
    # stream ends with an error and without its end, and what was shown is billed.
    When a slow "long-report" is streamed from host "a1", and its engine is killed 0.5 s later
    Then the slow stream ends with "answer_incomplete" and no clean end
    And the statement of "borough-north" has 1 more bill

  Scenario: A caller that goes away cancels the stream
    When a slow "long-report" is streamed from host "c1" and left after 5 chunks
    Then some engine cancelled the stream
    And the statement of "borough-north" has 1 more bill

  Scenario: A host is killed after its answer, before its batch
    # The bill is not in the log yet when its host dies. The peers that hold it
    # append it in its place, once.
    When a slow "note" is asked of host "c1", which is killed at once after
    Then the slow answer has 40 words
    And the statement of "borough-north" has 1 more bill
    And the statement is the same a second time
