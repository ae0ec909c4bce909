Feature: Causes of requests without a good answer in time, from the hosts' log lines

  Scenario Outline: Each loss has its cause
    # An engineer on call knows that callers complain, and has nothing but log lines. The
    # cause must be found for each request without a good answer in time, so that the most
    # frequent cause can be seen.
    Given the log lines of a request that <outcome>
    Then the cause of its loss is "<cause>"

    Examples:
      | outcome                                | cause                                                         |
      | was refused                            | refused: not_ready, keys are old                              |
      | was broken off                         | broken off: broken                                            |
      | was left before any send               | left: before any send                                         |
      | failed at its endpoint                 | failed at its endpoint: 500                                   |
      | came late after a larger model         | late: after a larger model was asked                          |
      | came late kept from an endpoint        | late: away from an endpoint that asked this host to stay away |
      | came late kept and after a failed send | late: after a send failed (broken)                            |
      | paused at its first endpoint           | pause: by its first endpoint                                  |
      | was answered poorly                    | poor: kept although the model doubts it                       |
      | was answered well                      | none                                                          |
      | has no end                             | no line tells its end                                         |

  Scenario: The tables and the plot show causes, zones and times
    Given the log lines of a request that was refused
    When the losses are printed
    Then the output contains "1 requests, 1 lost"
    And the output contains "keys are old"
    And the output contains "zone-a"
    And the output contains "     0     1  ########################################"
