Feature: Endpoints that ask a host to stay away for some seconds

  @fixture.cuttable_hosts
  Scenario Outline: An endpoint gets nothing from a host that it asked to stay away: <paths>
    # Guards against hosts that come back after a pause of their own, or by another way.
    Given callers of all kinds were served by each host
    When <cut>
    And "stock-1" and "engine-1" reject all requests and ask for 3 s without any
    And callers of each host send 5 requests of each kind a second for 4 s
    Then neither of them received more than 2 requests of a host it had asked to stay away
    And all requests were served

    Examples:
      | paths                                 | cut                                      |
      | all hosts use their own links         | no link is cut                           |
      | one host is served through the others | host 0 is cut off from all endpoints     |
      | two hosts are served through a third  | hosts 0 and 1 are cut off from all endpoints |

  Scenario Outline: <hosts> hosts keep away from resting endpoints over relays too, <cut> of them cut off
    # Guards against helpers that don't know what the endpoint asked of them.
    Given <hosts> hosts before 24 endpoints, <cut> of them cut off and served by the others
    When 8 of the endpoints reject all requests for 5 s and ask for 3 s without any
    And callers of each host send <rate> requests a second for 10 s
    Then no endpoint received more than 2 requests of a host that it had asked to stay away
    And at most one in fifty requests was not served

    Examples:
      | hosts | cut  | rate |
      | 6     | half | 20.0 |
      | 79    | none | 10.0 |
      | 79    | half | 10.0 |
      | 390   | half | 3.0  |

  Scenario Outline: <hosts> hosts return to resting endpoints little by little, <resting> of <endpoints>
    # Guards against hosts that were asked together and come back together.
    Given <hosts> hosts that know each other, before <endpoints> endpoints of <slots> slots that are half used
    When <resting> of the endpoints reject all requests for 5 s and ask for 3 s without any
    And their callers go on for 14 s
    Then no endpoint received more than 2 requests of a host that it had asked to stay away
    And no more than its slots came from hosts that it had asked, in the first tenth of a second after
    And <outcome>

    Examples:
      | hosts | endpoints | slots | resting | outcome                                            |
      | 6     | 6         | 8     | 1       | no request was refused                             |
      | 6     | 6         | 8     | 6       | the refused callers came back to be served, spread |
      | 79    | 24        | 8     | 4       | no request was refused                             |
      | 79    | 24        | 8     | 24      | the refused callers came back to be served, spread |
      | 390   | 24        | 16    | 24      | the refused callers came back to be served, spread |

  Scenario Outline: No way of sending passes by a demand
    Given a dispatcher of a host that an endpoint asked for 3 s without requests
    Then a request <way> is not sent to the resting endpoint

    Examples:
      | way                                              |
      | sent first                                       |
      | sent again after a failure elsewhere             |
      | whose stream is resumed                          |
      | whose session was there before                   |
      | whose prompt was read there                      |
      | for a larger model                               |
      | that waited for a connection meanwhile           |

  Scenario Outline: A demand ends with its time or a new start only: <event>
    # Guards against a demand that is forgotten because of what was under way.
    Given a dispatcher of a host that an endpoint asked for 3 s without requests
    When <event>
    Then the host <keeps> away from the endpoint

    Examples:
      | event                                                           | keeps         |
      | an answer that began before the demand is complete              | keeps         |
      | its path is found lost and its failures are taken back          | keeps         |
      | its record lapses and returns                                   | keeps         |
      | it asks for a shorter time                                      | keeps         |
      | 2.9 s pass                                                      | keeps         |
      | 3.1 s pass                                                      | does not keep |
      | it starts again                                                 | does not keep |
      | another endpoint starts at its address                          | does not keep |

  Scenario Outline: What an answer asks for: <status> with "<value>"
    Then an answer of status <status> with "<value>" asks for <seconds> s, and <count> headers are misread

    Examples:
      | status | value                         | seconds | count |
      | 503    | 3                             | 3.0     | 0     |
      | 503    | 0.5                           | 0.5     | 0     |
      | 429    | 2                             | 2.0     | 0     |
      | 503    | 0                             | 0.0     | 0     |
      | 200    | 3                             | 0.0     | 0     |
      | 500    | 3                             | 0.0     | 0     |
      | 503    | -1                            | 0.0     | 1     |
      | 503    | 1e9                           | 0.0     | 1     |
      | 503    | nan                           | 0.0     | 1     |
      | 503    | Fri, 04 Dec 2026 10:00:00 GMT | 0.0     | 1     |
      | 503    | 86400                         | 300.0   | 1     |
      | 503    | 99999999999999999999          | 0.0     | 1     |

  Scenario Outline: A demand is believed only in an answer that surely belongs to the request
    Given a helper that relays "request-1" to an endpoint
    When the endpoint answers <answer>
    Then the helper <keeps> away from it

    Examples:
      | answer                                                         | keeps         |
      | 503 not run, to "request-1", and asks for 3 s                  | keeps         |
      | 503 not run, without an id, and asks for 3 s                   | keeps         |
      | 503 not run, to "request-2", and asks for 3 s                  | does not keep |
      | 421 not run, without an id, and asks for 3 s                   | does not keep |
      | 200, to "request-1", and asks for 3 s                          | does not keep |

  Scenario: A helper remembers a demand of an endpoint whose record had lapsed
    Given a helper that relays "request-1" to an endpoint
    When the record of the endpoint lapses
    And the endpoint answers 503 not run, to "request-1", and asks for 3 s
    And the record of the endpoint returns
    Then the helper keeps away from it

  Scenario Outline: When a refused caller should come back
    Then a caller with <left> s left, at <position> of those that are refused while the first demand of 3 s ends in <wait> s, comes back after <seconds> s

    Examples:
      | left | position | wait | seconds |
      | 20.0 | 0.0      | 2.0  | 2.0     |
      | 20.0 | 0.5      | 2.0  | 3.5     |
      | 20.0 | 1.0      | 2.0  | 5.0     |
      | 9.0  | 1.0      | 2.0  | 3.0     |
      | 3.0  | 1.0      | 2.0  | 2.0     |

  Scenario: A prompt returns to its home after a demand without being read twice there
    # Guards against homes that all move, or are forgotten, because one endpoint rests.
    Given 40 prompts that were read at their homes among 4 engines
    When one engine asks for 3 s without requests
    Then only its own prompts move to another home
    And after the demand no prompt is read once more

  Scenario: An endpoint that asks for a rest is no evidence against its version
    Given a dispatcher of a host that an endpoint asked for 3 s without requests
    Then no answer of the version is counted as failed

  @fixture.host_pair
  Scenario: A service whose endpoints all rest refuses at once and says when to come back
    Given "stock-1" rejects all requests and asks for 3 s without any
    When callers at both hosts send 20 lookups
    Then those that did not reach it are refused as not run within 0.2 s, with 1 to 6 s to wait
    And logs and counters of the hosts tell whose demand it was
