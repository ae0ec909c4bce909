Feature: Most new connections of an area go to one host

  Scenario Outline: <hosts> hosts serve a flood at one of them: <budget>
    # Guards against shares of endpoints that lie idle at other hosts while one host refuses.
    Given <hosts> hosts before <endpoints> endpoints of <slots> slots, which share <budget>
    When callers want <load> of what the endpoints serve, for 8 s
    And nine in ten requests go to one host, for 9 s
    Then from 3 s on requests are served at least three quarters as often as before
    And no more than the endpoints bear reaches them

    Examples:
      | hosts | endpoints | slots | budget                              | load |
      | 6     | 3         | 64    | a named rate limit                  | 0.6  |
      | 6     | 3         | 64    | the rate of endpoints that warm up  | 0.6  |
      | 6     | 3         | 12    | the slots of brittle endpoints      | 0.4  |
      | 78    | 6         | 64    | a named rate limit                  | 0.6  |
      | 78    | 6         | 64    | the rate of endpoints that warm up  | 0.4  |
      | 78    | 6         | 24    | the slots of brittle endpoints      | 0.4  |

  Scenario: Real hosts serve a flood at one of them
    # Guards against loans that are decided but not exchanged between hosts.
    Given 6 running hosts of one zone before 2 endpoints that name a limit of 20 requests a second
    When callers send 24 requests a second to hosts at random for 6 s, then to one host for 9 s
    Then from 3 s on the one host served three quarters as often as all hosts did before

  Scenario Outline: Loans never exceed a budget: <hosts> hosts that <state>
    # Guards against a share that the lender and the borrower use.
    Given <hosts> hosts that lend each other shares of <rate> requests a second
    When callers come to other hosts each 2.5 s, while the hosts <state>
    Then in any window they use at most <most> times the budget, and never more than its bound

    Examples: of the budget; where some are not heard, also of what the bound leaves beyond it
      | hosts | rate | state                                   | most |
      | 6     | 1.0  | all hear each other                     | 1.0  |
      | 6     | 20.0 | all hear each other                     | 1.0  |
      | 79    | 20.0 | all hear each other                     | 1.0  |
      | 6     | 20.0 | are restarted one after the other       | 1.0  |
      | 79    | 20.0 | are restarted one after the other       | 1.0  |
      | 6     | 20.0 | are cut into zones                      | 1.0  |
      | 6     | 20.0 | are cut into two halves                 | 1.55 |
      | 79    | 20.0 | are cut off one by one, a third of them | 1.55 |
      | 79    | 20.0 | lose a fifth of them                    | 1.55 |
      | 79    | 20.0 | are suspended for 6 s, a third of them  | 1.55 |

  Scenario: One of 390 hosts gets most callers
    Given 390 hosts that lend each other shares of 20 requests a second
    When callers want 0.6 of the rate at all hosts, then at one host only, for 9 s
    Then from 4 s on the one host serves three quarters as often as all hosts did before

  Scenario Outline: A host that has just started borrows what it may not use yet: <hosts> hosts
    # Guards against a flood at a host that has no share until the others know it.
    Given <hosts> hosts that lend each other shares of 20 requests a second
    When callers want 0.6 of the rate at all hosts, then at one that starts only, for 9 s
    Then from 4 s on the one host serves three quarters as often as all hosts did before
    And in any window they use at most 1.0 times the budget, and never more than its bound

    Examples:
      | hosts |
      | 6     |
      | 79    |

  Scenario Outline: A loan ends although no message arrives: <what>
    Given a host that has lent 5 of its 8 uses for windows of 4 s
    When <what>
    Then it may use <own> itself

    Examples:
      | what                                                           | own |
      | the loan is 2 s old                                                   | 3   |
      | the loan is 6.9 s old                                                 | 3   |
      | the loan is 7.1 s old                                                 | 8   |
      | the borrower gives 2 back                                      | 5   |
      | the borrower gives all back                                    | 8   |
      | the borrower gives 2 back, and an older request for 5 follows  | 5   |
      | the borrower gives all back but for 4 that it still uses       | 4   |

  Scenario Outline: A host of at most 100 open requests <takes> a new connection: <what>
    Given a host that may have 100 open requests
    When <open> requests are open and <awaited> new connections have sent none yet
    Then it <takes> a new connection

    Examples:
      | open | awaited | takes   | what                                                   |
      | 0    | 0       | takes   | it has nothing to do                                   |
      | 99   | 0       | takes   | one more fits                                          |
      | 100  | 0       | refuses | it is full                                             |
      | 60   | 39      | takes   | one more fits after those that are about to come       |
      | 60   | 40      | refuses | those that are about to come fill it                   |
      | 49   | 500     | takes   | silent connections keep nobody out of an idle host     |

  Scenario: A full host closes new connections before it reads their requests
    # Guards against a full host that reads requests and refuses them, while others have room.
    Given a server that may have 4 open requests, all of which are taken
    When another caller connects and sends its request
    Then its connection is closed without an answer, and its request was not read
    And one that connects after a request has ended is served
