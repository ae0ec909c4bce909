@fixture.small_fleet
Feature: The whole path, as separate processes

  Background:
    Given the Thistledown document is in force

  Scenario: The unchanged OpenAI client asks for a whole answer
    When a client of "borough-north" asks host "a1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: The unchanged OpenAI client streams an answer
    When a client of "borough-north" streams a "long-report" from host "b1"
    Then the stream has 40 words and a clean end

  Scenario Outline: The unchanged OpenAI client gets typed errors
    When a client with key "<key>" asks host "a1" for a "<class>"
    Then the client raises "<error>" with code "<code>" and not_run "yes"

    Examples:
      | key              | class       | error                 | code              |
      | wrong            | note        | AuthenticationError   | unauthenticated   |
      | trust-office-key | long-report | PermissionDeniedError | class_not_allowed |
      | trust-office-key | no-such     | NotFoundError         | class_unknown     |

  Scenario: A stream breaks in the middle of the answer
    # The engine closes the stream after 10 tokens. The host resumes it at that position, so
    # that the caller gets one complete answer without an error.
    Given engine "engine-a" breaks its next stream after 10 tokens
    And engine "engine-b" breaks its next stream after 10 tokens
    And engine "engine-c" breaks its next stream after 10 tokens
    When a client of "borough-north" streams a "long-report" from host "a1"
    Then the stream has 40 words and a clean end


  Scenario: An engine dies and the host list is outdated
    # The list still contains the dead engine; the first failed call excludes it.
    Given engine "engine-a" is killed
    When a client of "borough-north" asks host "a1" for a "note"
    Then the answer has 40 words and a usage

  Scenario: An idempotent call is retried at another endpoint
    # The service is dead in two zones. The call may be sent again, so that the caller only gets
    # the answer from the third.
    Given service endpoint "loan-records-a" is killed
    And service endpoint "loan-records-b" is killed
    When "borough-north" calls "loan-records/lookup" at host "a1"
    Then the call answers 200
