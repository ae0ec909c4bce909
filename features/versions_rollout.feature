Feature: The system rolls versions out and withdraws bad ones, as separate processes

  @fixture.version_fleet
  Scenario: A bad version is offered beside a good one
    # Callers see answers of the good version but for a few. The operator offers
    # larch:2, whose answers are poor. Hosts send it no more requests than the
    # log's shares allow; the ratings show it bad; the system withdraws it.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:2" is offered beside it
    And callers ask for 400 "note" answers, until "larch:2" is withdrawn
    Then at most 50 answers came from "larch:2"
    And "larch:2" is withdrawn at every host
    And the next 20 "note" answers come from "larch:1"

  @fixture.version_fleet
  Scenario: A good version is offered and its first roll-out host dies
    # The steward of the class is killed in the middle of the roll-out. Another
    # host finds in the log how far it was and carries it on to the end.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:3" is offered beside it
    And the log shows a grant for "larch:3" in class "note"
    And the host that wrote it is killed
    And callers ask for 1500 "note" answers, until "larch:3" serves class "note"
    Then the grants of "larch:3" are numbered without a gap or a repeat

  @fixture.version_fleet
  Scenario: A session's version is withdrawn
    # The session opened on larch:1. The operator withdraws larch:1 and offers
    # larch:3. The session's next request is refused as not run, with what to do;
    # it is never moved to larch:3 silently. Other requests go on.
    Given version "larch:1" alone is offered and serves class "note"
    When a session "report-7" asks host "a1" for a "note"
    And the session asks host "b1" by its id and host "c1" by its token
    Then all its answers came from "larch:1"
    When only "larch:3" is offered
    Then the session gets "session_version_withdrawn", not run, at each host
    And the next 6 "note" answers come from "larch:3"

  @fixture.version_fleet
  Scenario: A host starts while the log is down, in the middle of a roll-out
    # The new process can't read how far the roll-out is. Taking larch:2 for a
    # version in service would expose all its callers; it asks another host
    # instead, learns that larch:2 is on trial, and holds no share of it.
    Given version "larch:1" alone is offered and serves class "note"
    When "larch:2" is offered beside it
    And the log shows a grant for "larch:2" in class "note"
    And the log goes down and host "c1" starts anew
    Then 30 "note" answers of host "c1" come from "larch:1"
