Feature: Sessions during a roll-out when their requests reach many hosts

  Scenario: A session that changes hosts keeps its version in the first half
    # Guards against a host that has not seen the session before and assigns it by its hash alone.
    Given 24 hosts in 3 zones, and 60 sessions a second that ask any of them
    When a roll-out of 24.0 s is ordered after 8.0 s and its endpoints are listed 0.3 s later
    Then no session changes its version in the first half of the roll-out
    And the new version gets 0.04 to 0.12 of the requests in the last 4.0 s of that half

  Scenario: A session that has moved to the new version stays there
    # Guards against hosts that send a session back while the hosts begin the shift one by one.
    Given 24 hosts in 3 zones, and 60 sessions a second that ask any of them
    When a roll-out of 24.0 s is ordered after 8.0 s and its endpoints are listed 0.3 s later
    Then no session goes back to the old version
    And the new version gets all requests of the last 1.5 s

  Scenario Outline: Sessions keep their version while <hosts> hosts are <how> one after the other
    # Guards against pins that are gone once all owners of a session have been restarted.
    Given <hosts> hosts in 3 zones, and 60 sessions a second that ask any of them
    When a roll-out of 24.0 s is ordered after 12.0 s
    And each host is <how>, one every <gap> s from <since> s on
    Then no session changes its version in the first half of the roll-out

    Examples: During the roll-out
      | hosts | how     | gap | since |
      | 6     | stopped | 1.0 | 12.5  |
      | 24    | stopped | 0.4 | 12.5  |
      | 6     | killed  | 1.9 | 12.5  |

    Examples: Just before the order
      | hosts | how     | gap | since |
      | 6     | stopped | 1.0 | 6.5   |
      | 24    | stopped | 0.3 | 5.0   |

  Scenario Outline: Among <hosts> hosts, a stop and a start tell and ask at most 12 others
    # Guards against a handover whose cost grows with the fleet.
    Given a host among <hosts> hosts that keeps 40 held sessions
    When it stops, and starts again
    Then it has told at most 12 hosts of each, and has sent each session to 3 hosts
    And all that own a session with it are among those that it asks, also while 3 of them stop

    Examples:
      | hosts |
      | 24    |
      | 390   |

  Scenario: A host that starts during a roll-out joins at the current stage
    # Guards against a restarted host that begins the trial again for its callers.
    Given 12 hosts in 3 zones, and 20 sessions a second that ask any of them
    When a roll-out of 24.0 s is ordered after 4.0 s, and a host is restarted 15.0 s later
    Then the first session that it serves is in the stage of the roll-out that the others are in
