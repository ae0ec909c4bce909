Feature: A job has one holder at a time, and a paused holder finds out in time

  Background:
    Given 3 zones of 2 hosts that stand for the job "orders"
    And the job "orders" has a holder

  Scenario: A planned stop hands the job over without waiting
    When the holder leaves in a planned way
    Then within 4 s another host holds the job with a higher fencing number

  Scenario: The holder dies
    # Nobody renews. The others wait for longer than the lease from when they
    # read its last record, then the first in rank takes the job.
    When the holder dies without a word
    Then within 25 s another host holds the job with a higher fencing number

  Scenario: The holder is paused, its lease lapses, and it goes on unknowingly
    # Its clock went on while it was paused, so its next look finds no lease; it
    # sends no order. Its late renewal names a record that is no longer the last.
    When the holder is paused for 40 s
    Then another host holds the job with a higher fencing number
    And the paused host found no lease at its first look
    When 20 s pass for the leases
    Then the job has exactly one holder

  Scenario: The log is down
    # Nobody can renew: the job rests once the lease has lapsed, rather than have
    # two hosts do it. Then it goes on.
    When the lease log is down for 60 s
    Then nobody holds the job
    When 10 s pass for the leases
    Then the job has exactly one holder

  Scenario: A renewal takes effect long after its sender gave it up
    # Another host has taken the job over; the late record must not give it back.
    When the holder's renewal is held back while another host takes over
    Then another host holds the job with a higher fencing number
    When the renewal that was held back takes effect
    And 5 s pass for the leases
    Then another host holds the job with a higher fencing number

  Scenario: The answer to an append is lost
    When the answers to the next 5 lease appends are lost
    And 30 s pass for the leases
    Then the job has exactly one holder

  Scenario: Retention drops the records of the lease
    # A fresh host reads a gap; it learns the table from a snapshot and takes
    # nothing before.
    When 1000 s pass for the leases
    And retention drops all but 20 lease records
    And 30 s pass for the leases
    And a fresh host joins
    And 30 s pass for the leases
    Then the job has exactly one holder
    And the fresh host knows the holder

  Scenario Outline: No two hosts hold the job at once, whatever fails
    # Pauses, deaths, cuts from the log and lost answers, at random moments.
    When 15 random faults strike with seed <seed>
    Then at no moment did two hosts hold the job
    And the fencing numbers never fell

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
