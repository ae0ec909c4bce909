Feature: Stand-ins start whatever else the machine does

  Scenario: Another process takes a port between the look at it and the start
    # The stand-in's second port is gone when it binds. Its first one already served,
    # so the process lived on without a word, and whoever waited for it hung.
    Given a stand-in whose control port is taken before it starts
    When it starts
    Then it answers at another control port
