Feature: Where callers lost, by the log lines of hosts

  Scenario Outline: Each loss has its cause
    # An engineer on call sees that callers complain, and has log lines only. Each request
    # without a good answer in time must tell why, so that the most frequent cause shows.
    Given the log lines of a request that <story>
    Then its loss is "<cause>"

    Examples:
      | story                           | cause                                          |
      | was refused                     | refused: not_ready, keys are old               |
      | was broken off                  | broken off: broken                             |
      | was left before any send        | left: before any send                          |
      | failed at its endpoint          | failed at its endpoint: 500                    |
      | came late after a larger model  | late: after a larger model was asked           |
      | paused at its first endpoint    | pause: by its first endpoint                   |
      | was answered poorly             | poor: kept although the model doubts it        |
      | was answered well               | none                                           |
      | has no end                      | no line tells its end                          |

  Scenario: The table and the plot tell when and where
    Given the log lines of a request that was refused
    When the losses are printed
    Then the page holds "1 requests, 1 lost"
    And the page holds "keys are old"
    And the page holds "zone-a"
    And the page holds "     0     1  ########################################"
