Feature: Hosts that don't reach endpoints serve their callers through hosts that do

  @fixture.cuttable_hosts
  Scenario Outline: Callers of <hosts> are served while its links to all endpoints are cut: <cut>
    # Guards against a host that refuses what the others serve because it lost its own links.
    Given callers of all kinds were served by each host
    When <hosts> lose their links to all endpoints, and <cut>
    And 3 s have passed
    Then of 10 requests of each kind at each of <hosts> all are served at the first attempt
    And each order ran once

    Examples:
      | hosts            | cut                                               |
      | host 0           | open connections are reset and new ones refused   |
      | host 0           | open connections go silent and new ones hang      |
      | host 0           | open connections live on and new ones are refused |
      | hosts 0 and 1    | open connections are reset and new ones refused   |
      | hosts 0 and 1    | open connections go silent and new ones hang      |

  @fixture.cuttable_hosts
  Scenario: A host that lost the links to some endpoints serves all requests
    Given callers of all kinds were served by each host
    When host 0 loses its links to "engine-1, stock-1"
    Then of 10 requests of each kind at each of host 0 all are served at the first attempt
    And each order ran once

  @fixture.cuttable_hosts
  Scenario: A host that starts without links to endpoints serves its callers
    # Guards against a decision that needs outcomes from before the cut.
    When host 0 is started again, cut off from all endpoints: open connections go silent and new ones hang
    Then of 5 requests of each kind at each of host 0 all are served at the first attempt
    And each order ran once

  @fixture.cuttable_hosts
  Scenario: A host uses its own links again once they are mended
    Given callers of all kinds were served by each host
    When host 0 loses its links to all endpoints, and open connections are reset and new ones refused
    And 5 requests of each kind are sent to host 0
    And its links are mended and 5 requests of each kind are sent to host 0
    Then within 5 s no further request at host 0 is relayed

  @fixture.cuttable_hosts
  Scenario: Hosts that are all cut off refuse at once as not run
    # Guards against hosts that wait for each other, or hold what nobody can serve.
    Given callers of all kinds were served by each host
    When hosts 0, 1 and 2 lose their links to all endpoints, and open connections are reset and new ones refused
    And 1 s have passed
    Then a request of each kind at each host is refused as not run within 1.0 s
