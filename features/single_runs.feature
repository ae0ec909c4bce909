Feature: Requests that may run only once

  @each.installation
  Scenario: A stream that may not be resumed keeps an answer of low confidence
    # Guards against a second run, of the larger model, under the same request id.
    Given a second endpoint "engine-2" of "engines"
    And drafts may not be resumed
    And the model "small" has confidence 5 and the model "large" 95
    When a caller requests a draft
    Then the answer has the events 1 to 5 of the model "small"
    And 1 runs of "engines" were needed

  @each.installation
  Scenario: The command line tells why no larger model is asked for a stream that may not be resumed
    # Guards against an explanation that promises what the host does not do.
    Given drafts may not be resumed
    When the command line asks where a draft goes
    Then the model "small" answers, since "a stream that may not be resumed runs once"

  @each.installation
  Scenario Outline: A stream that may not be resumed runs once if its endpoint <does>
    # Guards against a stream that is sent to another endpoint after it may have run.
    Given a second endpoint "engine-2" of "engines"
    And drafts may not be resumed
    When the endpoints of "engines" answer the next draft with the fault "<fault>"
    Then 1 runs of "engines" were needed

    Examples:
      | does                 | fault |
      | fails                | ERROR |
      | loses the answer     | LOST  |
      | breaks the stream    | CUT   |
      | never begins to send | MUTE  |

  Scenario Outline: <request> <may> run again after <event>
    # Guards against a way to a second run that ignores the kind of request.
    Given <request> that an endpoint runs
    Then it <may> run again after <event>

    Examples: Requests that may run more than once
      | request                    | may | event               |
      | a lookup                   | may | a broken connection |
      | a lookup                   | may | silence             |
      | a lookup                   | may | a peer's copy       |
      | a stream that is resumable | may | a broken connection |
      | a stream that is resumable | may | silence             |
      | a stream that is resumable | may | a peer's copy       |
      | a stream that is resumable | may | low confidence      |

    Examples: Requests that may not
      | request                        | may     | event               |
      | an order                       | may not | a broken connection |
      | an order                       | may not | silence             |
      | an order                       | may not | a peer's copy       |
      | a stream that is not resumable | may not | a broken connection |
      | a stream that is not resumable | may not | silence             |
      | a stream that is not resumable | may not | a peer's copy       |
      | a stream that is not resumable | may not | low confidence      |

  Scenario Outline: The last check before a send <does> <request> that may have run
    # Guards against a second run, whatever begins it, of a request that may run only once.
    Given <request> that an endpoint runs
    Then the last check before a send <does> it once it may have run

    Examples:
      | does   | request                        |
      | passes | a lookup                       |
      | passes | a stream that is resumable     |
      | stops  | an order                       |
      | stops  | a stream that is not resumable |

  Scenario Outline: The last check before a send <does> a copy of <request>
    # Guards against a load test that has a request run again which may run only once.
    Given <request> that an endpoint runs
    Then the last check before a send <does> a copy of it

    Examples:
      | does   | request                        |
      | passes | a lookup                       |
      | passes | a stream that is resumable     |
      | stops  | an order                       |
      | stops  | a stream that is not resumable |

  Scenario Outline: A load test copies requests that <may> run more than once: <copies>
    # Guards against copies of a request that may run only once.
    Given 6 hosts before endpoints of a good version, and streams that are <kind>
    When a roll-out of 24 s is carried out amid 21 requests a second
    Then <copies> were sent

    Examples:
      | may     | kind          | copies    |
      | may     | resumable     | copies    |
      | may not | not resumable | no copies |
