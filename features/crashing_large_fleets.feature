Feature: Parts of prompts that crash engines, at four hundred hosts

  Scenario Outline: Requests with a part that crashes engines are refused by <hosts> hosts, <others>
    # Guards against requests that crash one engine after the other, by any host and by second sends.
    Given <hosts> hosts before <engines> engines, and <sound> sound requests a second
    When <bad> requests a second with a part that crashes engines come at any host for <seconds> s
    And <others>
    Then at most 3 requests with the part reached an engine later than 3 s after the fifth crash
    And sound requests with each first part begin at least half as often as before, from 6 s after it
    And no host refuses anything else

    Examples:
      | hosts | engines | sound | bad  | seconds | others                       |
      | 390   | 60      | 90.0  | 12.0 | 9       | no engine crashes otherwise  |
