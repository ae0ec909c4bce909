Feature: Peers that are silent for a while, and peers that are dead

  Scenario Outline: A connection to <peer> survives a silent second and ends if the peer is dead
    # Guards against a user timeout that makes keep-alive probes give up on a peer that is alive.
    Given a connection to <peer>
    Then a peer that is silent for up to 1.5 s keeps it, idle or with data under way
    And the kernel ends it within 3.0 s of silence, idle or with data under way

    Examples:
      | peer        |
      | an endpoint |
      | a caller    |

  @fixture.cuttable_hosts
  Scenario: Endpoints that are silent for a second are neither dead nor cut off
    # Guards against hosts that leave, or reach through peers, what only paused.
    Given callers of all kinds were served by each host
    When the endpoints are silent for 1.2 s while each host gets a request of each kind
    Then all of these requests are answered with 200
    And each order ran once
    And no host has taken a path for lost, or an endpoint for unreached
