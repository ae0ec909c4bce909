Feature: A session keeps its version at every host that receives its requests

  Background:
    Given 6 hosts in 3 zones that store session versions

  Scenario: Two hosts receive a session's first requests at the same time
    # The caller chose the id, and its load balancer sent two requests to different hosts. Each
    # host proposes another version, and both must return the same one.
    When hosts "h0" and "h4" race to open session "ring-7", for "larch:1" and "spruce:1"
    Then both got the same version
    And every host finds that version for session "ring-7"

  Scenario: The session's first replicas die
    # Two of the three hosts with replicas die. The next request finds the version at the third and
    # copies it to the hosts that replace them.
    When host "h0" alone opens session "report-3" for "larch:1"
    And all replicas of session "report-3" but the last die
    Then every host finds "larch:1" for session "report-3"
    When the last remaining replica dies too
    Then every host finds "larch:1" for session "report-3"

  Scenario Outline: A replica of the session is paused
    # The paused host still counts as live but doesn't answer. Others know the version, so a
    # request waits for it only briefly, and not at all for copying the version to it.
    When host "h0" alone opens session "ring-9" for "larch:1"
    And replica <number> of session "ring-9" is paused
    Then the other hosts find "larch:1" for session "ring-9" within 0.1 virtual seconds

    Examples:
      | number |
      | 1      |
      | 3      |

  Scenario: A zone is partitioned and the caller presents the token
    # The partitioned host reaches no replica of the session. The token alone names the version;
    # without it another version could be selected.
    When host "h0" alone opens session "brief-2" for "larch:1"
    And the sessions of zone "c" are partitioned
    Then the token that host "h0" issued names "larch:1" for session "brief-2" at any host
    And the token with one byte changed is refused

  Scenario: A token is presented for another client account
    When host "h0" alone opens session "brief-2" for "larch:1"
    Then the token is refused for another client account
