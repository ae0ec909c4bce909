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
