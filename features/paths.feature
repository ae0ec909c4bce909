Feature: Which way a connection to an endpoint takes

  Scenario Outline: <cut> of <hosts> hosts are cut off and served through the others
    # Guards against helpers that are crushed, asked in vain, or ask others themselves.
    Given <hosts> hosts in three zones before 24 endpoints
    When <cut> of them lose their links to all endpoints, which are <how>
    And callers send <rate> requests a second to each host for 3.0 s
    And callers send <rate> requests a second to each host for 10.0 s
    Then all of them are connected within 0.2 s
    And no host carries more than twice what falls to each host that reaches endpoints
    And no host has more open than it has room for

    Examples:
      | hosts | cut             | how     | rate |
      | 6     | one             | refused | 10.0 |
      | 6     | one             | silent  | 10.0 |
      | 6     | a zone          | silent  | 10.0 |
      | 6     | half            | refused | 10.0 |
      | 6     | all but one     | refused | 10.0 |
      | 79    | half            | silent  | 10.0 |
      | 79    | a zone          | refused | 10.0 |
      | 79    | a zone but one  | silent  | 10.0 |
      | 390   | a zone          | silent  | 3.0  |
      | 390   | a zone but one  | refused | 3.0  |
      | 390   | half            | refused | 3.0  |

  Scenario Outline: Hosts that lose the endpoints of one zone only are served as well
    Given <hosts> hosts in three zones before 24 endpoints
    When half of them lose their links to the endpoints of the zone "a", which are silent
    And callers send 10.0 requests a second to each host for 3.0 s
    And callers send 10.0 requests a second to each host for 5.0 s
    Then all of them are connected within 0.2 s

    Examples:
      | hosts |
      | 6     |
      | 79    |

  Scenario: A host goes back to its own links soon after they are mended
    Given 6 hosts in three zones before 24 endpoints
    When half of them lose their links to all endpoints, which are silent
    And callers send 10.0 requests a second to each host for 5.0 s
    And the links are mended
    And callers send 10.0 requests a second to each host for 3.0 s
    And callers send 10.0 requests a second to each host for 5.0 s
    Then all of them are connected within 0.1 s
    And no connection is relayed

  Scenario: An endpoint that is down is told from a lost link
    # Guards against hosts that take a dead endpoint for a lost link, or the reverse.
    Given 6 hosts in three zones before 24 endpoints
    When the endpoint "e1" is down
    And callers send 10.0 requests a second to each host for 5.0 s
    Then no path is lost
    And no connection is relayed

  Scenario: Hosts that are all cut off refuse at once and ask each other in no circle
    Given 6 hosts in three zones before 24 endpoints
    When all of them lose their links to all endpoints, which are refused
    And callers send 10.0 requests a second to each host for 3.0 s
    Then all of them fail within 0.2 s
    And no connection is relayed

  Scenario: A lost path is one that a peer has, and ends with the own link
    Given a table of paths
    Then these outcomes make the path to "e1" of the group "a"
      | outcomes                                              | path  |
      | none                                                  | own   |
      | e1 failed                                             | own   |
      | e1 relayed                                            | lost  |
      | e1 relayed, e1 connected                              | own   |
      | e2 relayed                                            | own   |
      | e2 relayed, e3 relayed                                | lost  |
      | e2 relayed, e3 relayed, e4 connected                  | own   |
      | e4 connected, e2 relayed, e3 relayed                  | own   |
      | e4 connected, 2 s, e2 relayed, e3 relayed             | lost  |
      | e2 relayed, e3 relayed, e2 probed                     | own   |
      | e1 relayed, e1 probed                                 | own   |
      | e1 relayed, 70 s, e2 relayed                          | own   |
      | b2 relayed, b3 relayed                                | lost  |
      | a4 connected, b2 relayed, b3 relayed                  | own   |
      | b2 relayed, b3 relayed, a4 connected                  | own   |
      | b2 relayed, b3 relayed, b2 probed                     | own   |

  Scenario Outline: A host relays for a peer unless <what>
    Then a host that <what> answers a peer with "<answer>"

    Examples:
      | what                              | answer           |
      | has room                          | yes              |
      | does not know the peer            | unknown_peer     |
      | stops                             | stopping         |
      | does not know the endpoint        | unknown_endpoint |
      | does not reach the endpoint       | no_path          |
      | is full of its own requests       | busy             |
      | relays as much as it may          | busy             |
      | was asked by the endpoint to stay away | held_off    |
      | knows that the endpoint is leaving     | leaving     |

  Scenario Outline: A peer that declines is left alone for a while
    Given a choice of helpers among "a1" of the own zone and "b1" of another one
    When "a1" declines for "engines" because it is "<reason>"
    Then for <avoided> s "b1" is asked for "engines"
    And "<other>" is asked for "stock"

    Examples:
      | reason           | avoided | other |
      | busy             | 0.2     | b1    |
      | stopping         | 9.0     | b1    |
      | no_path          | 1.9     | a1    |
      | unreachable      | 1.9     | a1    |
