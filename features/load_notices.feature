Feature: Hosts of a zone tell each other of prompts that they send

  Scenario Outline: What one host sends is known to its zone at once
    Given <hosts> hosts in the zones "abc" that know each other
    When a host of the zone "a" sends a prompt that takes 0.8 s to read to "v1-0"
    Then within 0.05 s the hosts of the zone "a" expect 0.8 s of waiting at "v1-0", the others none
    And 1.0 s later no host expects a wait at "v1-0"

    Examples:
      | hosts |
      | 6     |
      | 79    |
      | 390   |

  Scenario Outline: Notices don't grow with the fleet, and long prompts are told first
    # Load: each host of a zone sends short and long prompts without a pause.
    Given <hosts> hosts of a zone that each send <rate> prompts a second, one in five of 0.5 s
    Then each host receives at most 120 notices a second over 6 s, and what 2 s save up
    And at least <told> of the long prompts are told

    Examples:
      | hosts | rate | told |
      | 2     | 40   | 1.0  |
      | 26    | 4    | 1.0  |
      | 56    | 10   | 0.9  |
      | 200   | 10   | 0.2  |

  Scenario: A notice of an endpoint that is not listed, or of a wait without end, does no harm
    Given a placement of 2 engines
    When a notice says that "engine-0" is busy for 90000.0 s, and one names "gone"
    Then after 5.0 s no engine has a wait

  Scenario Outline: More callers are answered in time when hosts tell each other at once
    # Load: many hosts before many engines, on sums of load that are a second old.
    When the load "<load>" is played with notices and without
    Then with notices at most <share> as many callers are late or get a poor answer

    Examples:
      | load | share |
      | calm | 0.75  |
      | peak | 0.8   |

  Scenario: A prompt goes to the engine that another host of the zone had it read by
    # Load: few requests share a prompt, so hardly any host meets the same one twice. Without
    # notices of prompts, each host would have another engine read it.
    Given the placements of 2 hosts before 12 engines with a light cache
    When one host sends a prompt of 20000 tokens to the engine "engine-7" and tells the other
    Then the other host expects only 1000 tokens to be read at "engine-7", of the same model only
    And it expects all 20000 tokens to be read there 60.0 s later

  Scenario: Engines whose cache of a token is large or not stated are chosen as before
    Given the placements of 2 hosts before 12 engines with a heavy cache
    When one host sends a prompt of 20000 tokens to the engine "engine-7" and tells the other
    Then the notice names no prompt, and the other host expects all tokens to be read
