Feature: Roll-outs on the gateway

  Scenario: A version that fails on one route alone is bad
    # The new version answers four of five routes well. Its mean looks good, and callers
    # of the fifth get failures.
    Given 40 good answers of the new version on "a" and 6 bad of 8 on "b"
    And 200 good answers of the old version on "a" and 50 on "b"
    Then the new version is judged bad

  Scenario: A version that takes many times as long is bad
    Given usual answers of 0.2 s, and 8 of 20 new ones of 1.6 s
    Then the new version is judged bad

  Scenario: A version is judged by answers that have not ended yet
    # The answers of the new version that end are its fast ones; the slow ones take
    # eight times as long and are still under way when the version would be trusted.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 6 of 12 answers of the version on trial have not begun after 0.9 s
    Then the new version is judged bad although none of its answers failed

  Scenario: An endpoint that crashes is no bad version
    # One endpoint of the new version crashes while it answers six callers; all six see
    # their answers go on elsewhere. The other answers were good, so the version stays.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 40 answers of the version on trial end well and 6 break off at the same moment
    Then the version on trial is judged good, with 1 bad answer

  Scenario: A good version whose endpoints are cold is not judged bad
    # All traffic moves to the new version, whose endpoints have read no prompts yet.
    # A sixth of its answers begin late; once begun, they come at the usual pace.
    Given usual answers of 0.02 s an event
    When 17 of 98 answers of the new version begin after 2.0 s, at the usual pace
    Then the new version is judged good while all traffic moves to it

  Scenario: A burst is not taken for a slow version
    # Traffic jumps after all of it moved to the new version, or while both run. Answers
    # take twice as long, the old version's as well: nothing is wrong with the new one.
    Given 40 answers 2.2 times as slow as usual, and old ones 1.0 times
    Then the new version is judged bad in the stage "shift"
    And the new version is judged good in the stage "alone"
    Given 40 answers 2.2 times as slow as usual, and old ones 1.6 times
    Then the new version is judged good in the stage "shift"
    Given 40 answers 2.8 times as slow as usual, and old ones 1.0 times
    Then the new version is judged bad in the stage "alone"

  Scenario: A version whose answers drip is bad, although they begin in time
    Given usual answers of 0.02 s an event
    When 6 of 10 answers of the new version take 0.16 s an event
    Then the new version is judged bad

  Scenario: A cascade stays in the version that it began in
    # A session is on the new version, and its small model doubts the answer. The larger
    # model is asked in the same version; the old one would break the session's promise.
    Given a roll-out of 20 s ordered at 100.0 and 0 sessions on the old version
    When a request on the new version is asked of a larger model
    Then its next send goes to the new version, and after a failure to the old one

  Scenario: A good version is not judged bad by as many failures as the old one has
    Given 4 bad of 30 new answers and 30 bad of 250 old ones
    Then the new version is judged good

  Scenario: Sessions keep their version in the first half of a roll-out
    # A session ran on the old version when the roll-out was ordered; 0 of its later
    # requests may move before the middle of the order's time.
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    Then none of them is sent to the new version until 110.0
    And about a tenth of 1000 new sessions tries the new version

  Scenario: The trial keeps to the operators' bound on exposure
    # Operators who let a bad version reach 3 in 100 requests must not see it reach 10.
    Given a roll-out whose version may reach 0.03 of the requests
    Then at most 0.03 of 4000 new sessions try the new version

  Scenario: A peer that still tells of the order before doesn't age the new one
    # Two roll-outs follow each other while the store turns one host away, which goes on
    # telling of the first. The second must have its whole trial, or a bad version gets
    # all traffic at once.
    Given a roll-out of 16 s ordered at 100.0 and 50 sessions on the old version
    When one of "v3" is ordered at 116.0 and a peer tells at 117.0 that "v2" is 17.0 s old
    Then "v3" is at the beginning of its trial at 117.0 and nothing is recorded but its start

  Scenario: A final phase is never overwritten
    Given a roll-out of 20 s ordered at 100.0 and 50 sessions on the old version
    When it is recorded as "rolled_back" and then as "active" by a host that was paused
    Then it is rolled back and no request goes to the new version

  Scenario: A version that is bad under load only is judged by its loaded answers
    # On idle endpoints all its answers are good, and most endpoints are idle. Mixed with
    # those, the failures of the one that is loaded would look like chance, until it has all
    # traffic.
    Given 300 good answers of the old version and 110 of the new one
    When 40 answers of the new version come under load, of which 8 fail
    Then the new version is judged bad
    And without its answers under load it is judged good

  Scenario: A crash that many hosts see counts once
    # The one endpoint that proves a version crashes. Each of nine hosts sees its own answers
    # break off; it is one endpoint all the same.
    Given 300 good answers of the old version and 40 of the new one
    When 9 hosts tell that "engine-1" broke off answers of the new version
    Then the new version is judged good

  Scenario: An answer that is late already and fails in the end counts as failed
    # Nothing came for so long that the answers counted as slow before their end. Their
    # callers then see them fail; good versions may have slow answers, but not these.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 6 of 40 answers of the version on trial have not begun after 3.0 s
    And these 6 answers fail in the end
    Then the version on trial has 6 bad and 6 slow answers of 40

  Scenario: Hosts that hear of the shift one after the other begin it together
    # Guards against a host that sends sessions back to the old version until it hears of the shift.
    Given two hosts that know a roll-out of 20 s ordered at 100.0
    When one decides at 110.5 that sessions may change, and the other hears of it 0.4 s later
    Then no session that one of them moves is sent back by the other

  Scenario: An endpoint that leaves many callers without an answer is no crash
    # Guards against a version that is slow under load, whose given-up answers count as one crash.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 40 answers of the loaded version come in time, and 12 between them don't come in 2.5 s
    Then the new version is judged bad while it is proven

  Scenario: A version most of whose answers are late is bad while traffic moves to it
    # Guards against a slow version that is completed because cold endpoints excuse late answers.
    Given 200 good answers of the old version, and 86 of the new one of which 67 are slow
    Then the new version is judged bad in the stage "shift"

  Scenario: An endpoint that goes dark is no bad version
    # Guards against a good version that is taken back because one of its endpoints crashed.
    Given a dispatch whose endpoints usually begin after 0.1 s
    When 40 answers of the loaded version come in time, and then 9 don't come in 2.5 s
    Then the new version is judged good while it is proven
