Feature: Endpoints that nobody reaches

  Scenario Outline: What some hosts failed to reach is known to all hosts of their zone
    # Load: a zone of endpoints goes dark at once, and each host would try each of them itself.
    Given <hosts> hosts in the zones "abc" that know each other
    When two hosts of the zone "a" fail to reach "v1-1"
    Then within <seconds> s all hosts of the zone "a" avoid "v1-1"
    When those hosts reach "v1-1" again
    Then after 5.0 s no host avoids an endpoint

    Examples:
      | hosts | seconds |
      | 6     | 0.7     |
      | 79    | 0.7     |
      | 390   | 0.7     |

  Scenario: A host that is cut off itself convinces nobody
    Given 79 hosts in the zones "abc" that know each other
    When one host of the zone "a" fails to reach all endpoints
    Then after 2.0 s no host avoids an endpoint

  Scenario: An endpoint that fails a few of its requests is not avoided
    Given 79 hosts in the zones "abc" that know each other
    When two hosts of the zone "a" fail to reach "v1-1" and five reach it
    Then after 2.0 s no host avoids an endpoint

  Scenario: The second try leaves a zone whose endpoints went dark together
    Given a placement of 4 engines in each of the zones "a, b, c"
    When the endpoints of "a" stop answering and a request finds one of them dead
    Then its second try goes to another zone

  Scenario: The second try stays in a zone where only one endpoint went dark
    Given a placement of 4 engines in each of the zones "a, b, c"
    When the others of "a" keep answering and a request finds one of them dead
    Then its second try goes to the zone "a"

  Scenario: Reports and verdicts of hosts that are gone are forgotten
    Given a host that hears of unreached endpoints
    When 500 other hosts report one after the other, each for the last time
    Then it remembers those of the last seconds only

  Scenario: Failures that go on cost few bytes, at aggregators as well
    # Guards against sending all loads again with each endpoint that a host fails to reach.
    Given 79 hosts in the zones "abc" before 70 endpoints with requests at each
    When the endpoints of the zone "a" are dark, and each host tries one four times a second for 5.0 s
    Then the middle host sends at most 9.0 KB a second
    And the busiest host sends at most 1.5 times as much as without failures

  Scenario Outline: Hosts that are cut off from all endpoints don't make others avoid them
    # Guards against hosts that lost their own links and turn their zone against sound endpoints.
    Given <hosts> hosts in the zones "abc" that know each other
    When <cut> hosts of the zone "a" fail to reach all endpoints, which another one reached once 0.5 s before
    Then after 0.8 s no host avoids an endpoint

    Examples:
      | hosts | cut |
      | 9     | 2   |
      | 78    | 25  |
