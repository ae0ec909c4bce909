Feature: Requests that come while a host stops as planned

  @fixture.stopping_host
  Scenario Outline: Requests with work of <work> s that come while a host stops <seen>
    # Guards against requests that are taken in a stop, and cut without an answer at its end.
    Given endpoints that work <work> s on each request
    When the host is asked to stop, and orders, lookups and drafts come 0.3, 1.5 and 2.2 s later
    Then <outcome>
    And none ran more than <runs> times, an order once
    And the host's process ended with code 0 within its grace

    Examples:
      | work | seen                        | outcome                                          | runs |
      | 3.0  | are answered                | each of them got 200 and its whole answer         | 2    |
      | 8.0  | get an error while they can | each of them got a whole answer, 502 if it ran    | 2    |

  @fixture.stopping_host
  Scenario: Requests that came before a host was asked to stop get an error while they can
    # Guards against requests that are under way when a stop begins, and cut without an answer.
    Given endpoints that work 9 s on each request
    When orders, lookups and drafts come, and the host is asked to stop 0.5 s later
    Then each of them got a whole answer, 502 if it ran
    And none ran more than 2 times, an order once
    And the host's process ended with code 0 within its grace
