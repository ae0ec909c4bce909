Feature: A session keeps its version, at whatever host its requests arrive

  Background:
    Given 6 hosts in 3 zones that keep sessions

  Scenario: Two hosts see a session's first request at once
    # The caller chose the id and its balancer spread two requests. Each host
    # proposes another version; both must answer with the same one.
    When hosts "h0" and "h4" race to open session "ring-7", for "larch:1" and "spruce:1"
    Then both got the same version
    And every host finds that version for session "ring-7"

  Scenario: The session's first homes die
    # Two of the three hosts that keep the session die. The next request finds
    # the version at the third and gives it to the hosts that take their place.
    When host "h0" alone opens session "report-3" for "larch:1"
    And all homes of session "report-3" but the last die
    Then every host finds "larch:1" for session "report-3"
    When the last home that was left dies too
    Then every host finds "larch:1" for session "report-3"

  Scenario Outline: A home of the session is paused
    # It still counts as live, and answers nothing. The others know the version, so
    # a request waits for it a moment at the most, and no longer to give it a copy.
    When host "h0" alone opens session "ring-9" for "larch:1"
    And home <number> of session "ring-9" is paused
    Then the other hosts find "larch:1" for session "ring-9" within 0.1 virtual seconds

    Examples:
      | number |
      | 1      |
      | 3      |

  Scenario: A zone is cut off and the caller carries the token
    # The cut-off host reaches no home of the session. The token alone names the
    # version, so the request goes on; without it a new version could be chosen.
    When host "h0" alone opens session "brief-2" for "larch:1"
    And the sessions of zone "c" are cut off
    Then the token that host "h0" gave names "larch:1" for session "brief-2" at any host
    And the token with one byte changed is refused

  Scenario: Forged for another client account
    When host "h0" alone opens session "brief-2" for "larch:1"
    Then the token is refused for another client account
