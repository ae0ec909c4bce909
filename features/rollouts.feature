Feature: Roll-outs on the gateway

  Scenario: A version that fails on one route alone is bad
    # Guards against a version that answers four of five routes well, so that its overall mean
    # hides the failures on the fifth.
    Given 40 good answers of the new version on "a" and 6 bad of 8 on "b"
    And 200 good answers of the old version on "a" and 50 on "b"
    Then the new version is judged bad

  Scenario: A version that takes many times as long is bad
    Given usual answers of 0.2 s, and 8 of 20 new ones of 1.6 s
    Then the new version is judged bad

  Scenario: A version is judged by answers that have not ended yet
    # Guards against judging by ended answers alone: those are the fast ones, while the slow ones
    # take eight times as long and are still open when the version would get more traffic.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When 6 of 12 answers of the version on trial have not begun after 0.9 s
    Then the new version is judged bad although none of its answers failed

  Scenario: A crash of one endpoint does not make its version bad
    # One endpoint of the new version crashes while it answers six callers, whose answers are
    # resumed elsewhere. Guards against counting the crash six times.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When 40 answers of the version on trial end well and 6 break off at the same moment
    Then the version on trial is judged good, with 1 bad answer

  Scenario: An endpoint that lives on and breaks off many answers counts for each of them
    # Guards against a version that breaks off every sixth answer, counted as one crash.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When every fifth of 40 good answers of the version on trial is followed by one that breaks off
    Then the version on trial is judged bad, with 8 bad answers

  Scenario: A good version whose endpoints are cold is not judged bad
    # All traffic moves to the new version, whose endpoints have empty prompt caches. A sixth of
    # its answers begin late and then continue at the usual pace.
    Given usual answers of 0.02 s an event
    When 17 of 98 answers of the new version begin after 2.0 s, at the usual pace
    Then the new version is judged good while all traffic moves to it

  Scenario: A burst is not taken for a slow version
    # Traffic jumps after all of it moved to the new version, or while both versions run. Answers
    # of both versions take twice as long, so the new one is not at fault.
    Given 40 answers 2.2 times as slow as usual, and old ones 1.0 times
    Then the new version is judged bad in the stage "shift"
    And the new version is judged good in the stage "alone"
    Given 40 answers 2.2 times as slow as usual, and old ones 1.6 times
    Then the new version is judged good in the stage "shift"
    Given 40 answers 2.8 times as slow as usual, and old ones 1.0 times
    Then the new version is judged bad in the stage "alone"

  Scenario: A version whose events come slowly is bad, although its answers begin in time
    Given usual answers of 0.02 s an event
    When 6 of 10 answers of the new version take 0.16 s an event
    Then the new version is judged bad

  Scenario: A cascade stays on the version that it began on
    # A session uses the new version, and the small model's answer has low confidence. The larger
    # model is asked on the same version, because a session keeps its version.
    Given a roll-out of 20 s ordered at 100.0 and 0 sessions on the old version
    When a request on the new version is asked of a larger model
    Then its next send goes to the new version, and after a failure to the old one

  Scenario: A good version is not judged bad by as many failures as the old one has
    Given 4 bad of 30 new answers and 30 bad of 250 old ones
    Then the new version is judged good

  Scenario: Sessions keep their version in the first half of a roll-out
    # A session used the old version when the roll-out was ordered. 0 of its requests may move
    # before half of the order's duration is over.
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    Then none of them is sent to the new version until 110.0
    And about a tenth of 1000 new sessions tries the new version

  Scenario: The trial keeps to the operators' limit on exposure
    # Guards against a trial that reaches 10 in 100 requests where operators allow a bad version 3.
    Given a roll-out whose version may reach 0.03 of the requests
    Then at most 0.03 of 4000 new sessions try the new version

  Scenario: A peer that still publishes the previous order doesn't age the new one
    # Two roll-outs follow each other while the store refuses one host, which still publishes the
    # first. Guards against applying the first one's age to the second, which would end its trial
    # and give a bad version all traffic at once.
    Given a roll-out of 16 s ordered at 100.0 and 50 sessions on the old version
    When one of "v3" is ordered at 116.0 and a peer reports at 117.0 that "v2" is 17.0 s old
    Then "v3" is at the beginning of its trial at 117.0 and nothing is recorded but its start

  Scenario: A final phase is never overwritten
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    When it is recorded as "rolled_back" and then as "active" by a host that was paused
    Then it is rolled back and no request goes to the new version

  Scenario: A version that is bad only under load is judged by its answers under load
    # Its answers are good on idle endpoints, and most endpoints are idle. Guards against counting
    # all answers together: the failures of the loaded endpoint would look like chance until the
    # version has all traffic.
    Given 300 good answers of the old version and 110 of the new one
    When 40 answers of the new version come under load, of which 8 fail
    Then the new version is judged bad
    And without its answers under load it is judged good

  Scenario: A crash that many hosts see counts once
    # The endpoint that is loaded during the shift crashes, and each of nine hosts sees its own
    # answers break off. Guards against counting one endpoint's crash once for each host.
    Given 300 good answers of the old version and 40 of the new one
    When 9 hosts report that "engine-1" broke off answers of the new version
    Then the new version is judged good

  Scenario: A slow answer that fails in the end counts as failed
    # Answers count as slow before they end when nothing comes for long. Guards against leaving
    # their later failures uncounted: a good version may have slow answers, but not failed ones.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When 6 of 40 answers of the version on trial have not begun after 3.0 s
    And these 6 answers fail in the end
    Then the version on trial has 6 bad and 6 slow answers of 40

  Scenario: Hosts that learn of the shift one after the other begin it together
    # Guards against a host that sends sessions back to the old version until it learns of the
    # shift.
    Given two hosts that know a roll-out of 20 s ordered at 100.0
    When one decides at 110.5 that sessions may change, and the other learns of it 0.4 s later
    Then no session that one of them moves is sent back by the other

  Scenario: Many answers that time out at one endpoint don't count as a crash
    # Guards against a version that is slow under load, whose timed-out answers count as one crash.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When 40 answers of the loaded version come in time, and 12 between them time out after 2.5 s
    Then the new version is judged bad during the shift

  Scenario: A version most of whose answers are late is bad while traffic moves to it
    # Guards against completing a slow version because late answers of cold endpoints are allowed.
    Given 200 good answers of the old version, and 86 of the new one of which 67 are slow
    Then the new version is judged bad in the stage "shift"

  Scenario: An endpoint that stops answering does not make its version bad
    # Guards against rolling back a good version because one of its endpoints crashed.
    Given a dispatcher whose endpoints usually begin after 0.1 s
    When 40 answers of the loaded version come in time, and then 9 time out after 2.5 s
    Then the new version is judged good during the shift

  Scenario Outline: The answers of a large fleet are judged like those of a small one
    # Guards against a host that ends because the number of combinations exceeds a float.
    Given <bad> bad of <ended> new answers and <old_bad> bad of <old> old ones
    Then the new version is judged <judgement>

    Examples:
      | bad  | ended | old_bad | old   | judgement |
      | 20   | 100   | 20      | 100   | good      |
      | 600  | 5000  | 590     | 5000  | good      |
      | 2500 | 5000  | 250     | 5000  | bad       |
      | 9000 | 40000 | 8900    | 40000 | good      |
      | 9000 | 40000 | 4000    | 40000 | bad       |

  Scenario: Answers under load don't hide a version that is slow
    # Guards against a slow version whose few answers to callers are outnumbered by copies.
    Given 200 good answers of the old version, and 10 of the new one to each of 4 kinds of work, 7 slow
    When 48 answers of the new version come under load, of which 0 fail
    Then the new version is judged bad in the stage "shift"

  Scenario Outline: Only a version whose answers are shown to be fast gets all sessions
    # Guards against a slow version that is completed since too little tells that it is slow.
    When a version has answered <answers> callers, <slow> of them slowly, and borne its load
    Then it is <verdict> to be fast

    Examples:
      | answers | slow | verdict   |
      | 0       | 0    | not shown |
      | 5       | 0    | not shown |
      | 8       | 0    | shown     |
      | 31      | 5    | shown     |
      | 31      | 14   | not shown |
      | 19      | 11   | not shown |

  Scenario Outline: Only a version whose answers are shown not to fail gets all sessions
    # Guards against a version that is completed with a few failures, which neither show it good nor bad.
    When a version has answered <answers> callers, of which <bad> failed and <slow> were slow, and <copies> copies, of which <lost> failed
    Then it is <verdict> to be good

    Examples: a version that fails three in ten would give so few failures by a chance of one in twenty
      | answers | bad | slow | copies | lost | verdict   |
      | 14      | 3   | 0    | 0      | 0    | not shown |
      | 11      | 2   | 0    | 3      | 1    | not shown |
      | 14      | 1   | 0    | 0      | 0    | shown     |
      | 40      | 6   | 0    | 0      | 0    | shown     |
      | 40      | 10  | 0    | 0      | 0    | not shown |

    Examples: slow and failed answers to callers count together
      | answers | bad | slow | copies | lost | verdict   |
      | 31      | 0   | 5    | 58     | 0    | shown     |
      | 31      | 4   | 5    | 58     | 0    | not shown |

  Scenario: A version that fails after it got all sessions is rolled back in place of completed
    # Guards against a completion, which is final, on evidence that no longer shows a good version.
    Given a roll-out whose version got all sessions after 12 good answers
    When 5 of its next 10 answers fail, and 3 of the old version's 10
    Then it is not completed, and is rolled back at the end of its time
