Feature: Choices of endpoints are the same after changes of their speed

  Scenario Outline: The same state and random source lead to the same choices and estimates
    # Guards against a faster choice that decides differently. The checksums were recorded with
    # the code that checked every rule for every endpoint.
    Given <endpoints> endpoints with <bytes> cache bytes per token, whose states change with the seed <seed>
    When endpoints are chosen for 600 requests
    Then <refused> requests get no endpoint, and the choices have the checksum "<checksum>"

    Examples:
      | endpoints | bytes  | seed | refused | checksum         |
      | 6         | 163840 | 1    | 396     | 01c3b6162f89ba42 |
      | 40        | 163840 | 2    | 126     | 303f6c08a9929677 |
      | 90        | 163840 | 3    | 26      | e8edd0456ad1ea6c |
      | 90        | 327680 | 4    | 80      | 58b8ff5567649f3f |
      | 830       | 163840 | 5    | 0       | 3f44f780c03a7696 |
      | 40        | 18432  | 6    | 219     | efce9ee99f44193f |
      | 90        | 18432  | 7    | 53      | cf5ff1ebdd505726 |
      | 830       | 18432  | 8    | 19      | 042703eeb43295ba |
