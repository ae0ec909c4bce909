Feature: Endpoints that fall over when they have to reject too many requests

  Scenario Outline: <hosts> hosts keep brittle endpoints up although callers want more than they serve
    # Guards against hosts that try a full endpoint again and again until it falls over.
    Given <hosts> hosts that exchange digests, before <endpoints> endpoints of <slots> slots
    When callers want <load> times what the endpoints serve for 3 s
    And the endpoints say that they bear <tolerated> rejections a second, for 3 s
    And they let no request wait any more, for 6 s
    Then they fall over at most 2 times and for a tenth of their number
    And they serve at least <least> of what they could

    Examples:
      | hosts | endpoints | slots | tolerated | load | least |
      | 6     | 3         | 6     | 3         | 2.0  | 0.5   |
      | 6     | 3         | 6     | 8         | 3.0  | 0.5   |
      | 6     | 3         | 64    | 5         | 1.5  | 0.5   |
      | 78    | 13        | 6     | 3         | 2.0  | 0.5   |
      | 78    | 26        | 12    | 5         | 1.5  | 0.5   |

  Scenario: A zone without endpoints is served by those of other zones
    # Guards against shares that belong to the hosts of the endpoint's zone alone.
    Given 6 hosts that exchange digests, before 3 endpoints of 12 slots in the zone "a"
    When callers want 0.3 times what the endpoints serve for 3 s
    And the endpoints say that they bear 3 rejections a second, for 3 s
    And they let no request wait any more, for 10 s
    Then at most one in ten requests was refused

  Scenario: Endpoints that are not brittle any more are filled as before
    Given 6 hosts that exchange digests, before 3 endpoints of 6 slots
    When callers want 2.0 times what the endpoints serve for 3 s
    And the endpoints say that they bear 3 rejections a second, for 3 s
    And they are not brittle any more, for 6 s
    Then no host takes the service for brittle

  Scenario Outline: What an answer says of rejections
    Then an answer with "<value>" tolerates <tolerated> rejections

    Examples:
      | value | tolerated |
      | 3     | 3         |
      | 0     | 0         |
      | -1    | none      |
      | many  | none      |
      | 2.5   | none      |

  Scenario Outline: A host keeps to what is left of a brittle endpoint: <what>
    Given a host alone before a brittle endpoint of 4 slots
    When <what>
    Then it <sends> to the endpoint

    Examples:
      | what                                                              | sends          |
      | 3 requests run there                                              | sends          |
      | 6 requests run there                                              | sends          |
      | 7 requests run there                                              | sends nothing  |
      | 2 requests run there and one was rejected 0.5 s ago               | sends nothing  |
      | 2 requests run there and one was rejected 1.6 s ago               | sends          |
      | 0 requests run there and one was rejected 0.5 s ago               | sends nothing  |
      | 9 requests run there and its service is not brittle any more      | sends          |
