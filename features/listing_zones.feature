Feature: News of endpoints reaches every host of a zone in time

  Scenario Outline: Hosts learn in time that endpoints leave, whatever else changes
    # Guards against requests to endpoints that leave, by hosts whose links are full of other news.
    Given a zone of <hosts> hosts before <endpoints> endpoints, with links of <link> KB a second
    When its reader is cut off from the store for 8.0 s
    And <count> endpoints are replaced each 1.2 s, six times, while <crashed> others crash
    Then every host that reaches the store drops each endpoint within 3.0 s

    Examples:
      | hosts | endpoints | link | count | crashed |
      | 2     | 6         | 400  | 1     | 2       |
      | 27    | 140       | 400  | 5     | 17      |
      | 27    | 140       | 250  | 5     | 17      |
      | 56    | 830       | 625  | 28    | 118     |

  Scenario Outline: Hosts without news send little
    # Guards against links of small hosts that control traffic takes from callers.
    Given a zone of <hosts> hosts before <endpoints> endpoints, with links of 625 KB a second
    Then a host sends at most 9.0 KB a second on average

    Examples:
      | hosts | endpoints |
      | 27    | 140       |
      | 56    | 830       |

  Scenario Outline: A reader that can't reach the store is replaced
    # Guards against a zone whose hosts all read for themselves as long as its reader is cut off.
    Given a zone of <hosts> hosts before <endpoints> endpoints, with links of 625 KB a second
    When its reader is cut off from the store for 8.0 s
    Then in the last 3.0 s of these only one host has read the store
    When the reader has reached the store again for 3.0 s
    Then it is the zone's reader

    Examples:
      | hosts | endpoints |
      | 2     | 6         |
      | 27    | 140       |
      | 56    | 830       |
