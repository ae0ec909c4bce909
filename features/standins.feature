Feature: Stand-ins start whatever other processes run on the machine

  Scenario: Another process binds a port between its selection and the start
    # The stand-in's control port is taken when it is bound. Its data port was served already,
    # so the process went on without reporting an error, and anybody waiting for it hung.
    Given a stand-in whose control port is taken before it starts
    When it starts
    Then it responds at another control port

  Scenario: Ports of one installation are never allocated twice
    # An installation allocates all its ports before it binds them one by one. If a port is
    # allocated twice, a stand-in binds it before the host for which it was meant.
    When 1000 free ports are allocated
    Then any 40 in a row differ

  Scenario: Ports bound by other processes don't displace allocated ones
    # On a busy machine, many candidate ports are already bound. When these were remembered
    # like allocated ones, they displaced allocated ports that were not bound yet.
    Given another process has bound 25 of the candidate ports
    When 1000 free ports are allocated
    Then any 40 in a row differ

  Scenario: Processes that run at the same time select ports from separate ranges
    # Guards against a host that can't listen because another run's process has bound its port.
    When 3 processes whose first choice is the same range of ports reserve one each
    Then the ranges differ, and one that is given back is reserved again
