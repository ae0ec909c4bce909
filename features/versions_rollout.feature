Feature: Separate host processes roll versions out and withdraw bad ones

  @fixture.version_fleet
  Scenario: A bad version is offered beside a good one
    # The operator offers larch:2, whose answers are poor. Hosts send it no more requests than the
    # shares in the log allow, its ratings show that it is bad, and the hosts withdraw it, so that
    # callers get only few of its answers.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:2" is offered beside it
    And callers ask for 400 "note" answers, until "larch:2" is withdrawn
    Then at most 50 answers came from "larch:2"
    And "larch:2" is withdrawn at every host
    And the next 20 "note" answers come from "larch:1"

  @fixture.version_fleet
  Scenario: A good version is offered and its first roll-out host dies
    # The rollout controller of the class is killed during the roll-out. Another host continues it
    # from its state in the log.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:3" is offered beside it
    And the log shows a grant for "larch:3" in class "note"
    And the host that wrote it is killed
    And callers ask for 1500 "note" answers, until "larch:3" serves class "note"
    Then the grants of "larch:3" are numbered without a gap or a repeat

  @fixture.version_fleet
  Scenario: A session's version is withdrawn
    # The session was opened on larch:1. The operator withdraws larch:1 and offers larch:3. The
    # session's next request is refused as not run, with advice for the caller. Guards against
    # moving the session to larch:3 silently. Other requests are answered.
    Given version "larch:1" alone is offered and serves class "note"
    When a session "report-7" asks host "a1" for a "note"
    And the session asks host "b1" by its id and host "c1" by its token
    Then all its answers came from "larch:1"
    When only "larch:3" is offered
    Then the session gets "session_version_withdrawn", not run, at each host
    And the next 6 "note" answers come from "larch:3"

  @fixture.version_fleet
  Scenario: A host starts while the log is down, in the middle of a roll-out
    # The new process can't read the state of the roll-out. Treating larch:2 as in service would
    # expose all its callers. Instead it asks another host, learns that larch:2 is on trial, and
    # has no share of it.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:2" is offered beside it
    And the log shows a grant for "larch:2" in class "note"
    And the log goes down and host "c1" restarts
    Then 30 "note" answers of host "c1" come from "larch:1"
