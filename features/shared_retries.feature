Feature: Retries that several hosts share

  Scenario Outline: Retries beyond the ratio are kept and used up by 6 to 390 hosts, in touch or not
    Given <hosts> hosts in 3 zones, which may make 52 retries beyond the ratio in any 10 s
    When for 20 s the hosts <state>
    Then they make at most 52 retries in any 10 s
    And they make at least <least> in each 10 s

    Examples: nine tenths of the allowance, or the part of it that belongs to settled hosts
      | hosts | state                                   | least |
      | 6     | all hear each other                     | 46    |
      | 79    | all hear each other                     | 46    |
      | 390   | all hear each other                     | 46    |
      | 6     | are cut into zones                      | 46    |
      | 79    | are cut into zones                      | 46    |
      | 390   | are cut into zones                      | 46    |
      | 79    | are cut into two halves                 | 46    |
      | 390   | are cut off one by one, a third of them | 46    |
      | 6     | lose a fifth of them                    | 30    |
      | 390   | lose three fifths of them               | 18    |
      | 79    | are all suspended for 6 s, then resumed | 0     |
      | 79    | are suspended for 6 s, a third of them  | 30    |
      | 6     | are restarted one after the other       | 7     |
      | 79    | are restarted one after the other       | 41    |
      | 390   | start, and don't know the others yet    | 0     |

  Scenario Outline: Hosts that start together may not use more than all of them may
    # Guards against starting hosts that divide a budget by the few that they know yet.
    Given <hosts> hosts that start and exchange digests, each of which knows <seeds> of them
    Then at no moment of 20 s their shares of 46 uses in 10 s, 52 at most, add up to more than 52
    And after 4 s a host has a share, and after 16 s they add up to 46

    Examples:
      | hosts | seeds |
      | 2     | 2     |
      | 6     | 3     |
      | 78    | 3     |
