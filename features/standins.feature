Feature: Stand-ins start whatever else the machine does

  Scenario: Another process takes a port between the look at it and the start
    # The stand-in's second port is gone when it binds. Its first one already served,
    # so the process lived on without a word, and whoever waited for it hung.
    Given a stand-in whose control port is taken before it starts
    When it starts
    Then it answers at another control port

  Scenario: Ports of one installation are never given out twice
    # An installation draws its ports first and binds them one by one. A port that is
    # given out twice is taken by a stand-in before the host it was meant for starts.
    When 1000 free ports are drawn
    Then any 40 in a row differ

  Scenario: Ports that other processes hold push none of the given ones out
    # Beside other work many of the ports looked at are taken. Remembered like those that
    # were given out, they made the list forget ports that were not bound yet.
    Given another process holds 25 of the ports that are drawn from
    When 1000 free ports are drawn
    Then any 40 in a row differ
