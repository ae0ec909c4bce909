Feature: Budgets that several hosts share

  Scenario Outline: A limit is kept and used up by 6 to 390 hosts, in touch or not
    Given <hosts> hosts in 3 zones, and an endpoint that names a limit of <rate> requests a second
    When for 16 s the hosts <state>
    Then they send at most <most> requests in any 4 s
    And they send at least <least> in each 8 s

    Examples: 1.5 times the rate of 4 s and 5 requests; nine tenths of the rate, or of what living hosts may use
      | hosts | rate | state                                        | most | least |
      | 6     | 1.0  | all hear each other                          | 11   | 7.2   |
      | 79    | 1.0  | all hear each other                          | 11   | 7.2   |
      | 390   | 1.0  | all hear each other                          | 11   | 7.2   |
      | 6     | 0.3  | all hear each other                          | 6    | 1.44  |
      | 390   | 20.0 | all hear each other                          | 125  | 144.0 |
      | 6     | 1.0  | are cut into zones                           | 11   | 7.2   |
      | 79    | 1.0  | are cut into zones                           | 11   | 7.2   |
      | 390   | 1.0  | are cut into zones                           | 11   | 7.2   |
      | 390   | 20.0 | are cut into zones                           | 125  | 144.0 |
      | 6     | 1.0  | are cut into two halves                      | 11   | 7.2   |
      | 79    | 1.0  | are cut into two halves                      | 11   | 7.2   |
      | 390   | 20.0 | are cut into two halves                      | 125  | 144.0 |
      | 6     | 1.0  | are cut off one by one, a third of them      | 11   | 7.2   |
      | 79    | 1.0  | are cut off one by one, a third of them      | 11   | 7.2   |
      | 390   | 20.0 | are cut off one by one, a third of them      | 125  | 144.0 |
      | 79    | 1.0  | lose a fifth of them                         | 11   | 7.2   |
      | 390   | 20.0 | lose a fifth of them                         | 125  | 144.0 |
      | 6     | 1.0  | lose those of the endpoint's zone            | 11   | 7.2   |
      | 79    | 20.0 | lose those of the endpoint's zone            | 125  | 79.2  |
      | 79    | 1.0  | lose three fifths of them                    | 11   | 0.0   |
      | 79    | 1.0  | are all suspended for 6 s, then resumed      | 11   | 0.0   |
      | 79    | 20.0 | are suspended for 6 s, a third of them       | 125  | 144.0 |
      | 6     | 1.0  | are restarted one after the other            | 11   | 3.6   |
      | 79    | 20.0 | are restarted one after the other            | 125  | 129.6 |
      | 390   | 1.0  | start, and don't know the others yet         | 11   | 0.0   |

  Scenario Outline: Idle connections leave half of what an endpoint accepts for new ones
    # Guards against connections that many hosts keep open, so that the endpoint resets new ones.
    Given <hosts> dispatchers of hosts that hear each other, and an endpoint that accepts <accepted> connections
    Then all hosts together keep at most <most> idle connections to it
    And those whose share is not zero keep at least <least> each

    Examples:
      | hosts | accepted | most | least |
      | 6     | 96       | 48   | 8     |
      | 79    | 530      | 265  | 3     |
      | 390   | 530      | 265  | 1     |
      | 390   | 790      | 395  | 1     |

  Scenario Outline: A host closes the connections that it may not keep
    Given a pool with 3 idle connections to an endpoint
    When one more is returned to it, and the host may keep <most>
    Then the pool keeps <kept> of them

    Examples:
      | most | kept |
      | 2    | 2    |
      | 8    | 4    |
      | 100  | 4    |
