Feature: A job has at most one lease holder, and a paused holder detects the expiry

  Background:
    Given 3 zones of 2 hosts that campaign for the job "orders"
    And the job "orders" has a holder

  Scenario: A planned stop releases the job at once
    When the holder leaves by a planned stop
    Then within 4 s another host holds the job with a higher fencing number

  Scenario: The holder dies
    # The lease is not renewed. The other hosts wait for longer than its duration from
    # when they read its last record, then the candidate with the highest rank acquires
    # the job.
    When the holder is killed
    Then within 25 s another host holds the job with a higher fencing number

  Scenario: The holder is paused until its lease has expired, and resumes
    # The holder's clock went on during the pause, so it must find no lease when it
    # resumes, and send no order. Its late renewal names a record that is no longer the
    # job's last one.
    When the holder is paused for 40 s
    Then another host holds the job with a higher fencing number
    And the paused host found no lease when it resumed
    When 20 s pass for the leases
    Then the job has exactly one holder

  Scenario: The log is down
    # No lease can be renewed. Once the lease has expired nobody may do the job, so that
    # no two hosts do it; then it must resume.
    When the lease log is down for 60 s
    Then nobody holds the job
    When 10 s pass for the leases
    Then the job has exactly one holder

  Scenario: A renewal takes effect long after its sender has given it up
    # Another host has acquired the job; the late record must not give it back.
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
    # A new host finds a gap in the stream. It must get the table from a snapshot, and
    # acquire nothing before.
    When 1000 s pass for the leases
    And retention drops all but 20 lease records
    And 30 s pass for the leases
    And a new host joins
    And 30 s pass for the leases
    Then the job has exactly one holder
    And the new host knows the holder

  Scenario Outline: No two hosts hold the job at the same time under random faults
    # Random pauses, loss of access to the log, lost answers and log outages.
    When 15 random faults are injected with seed <seed>
    Then at no moment did two hosts hold the job
    And the fencing numbers never decreased

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
