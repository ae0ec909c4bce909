Feature: Endpoints that start again under their id while their clock is stepped

  Scenario Outline: The records <records> are applied as <events>
    # Guards against a start that is ignored, its drain too, because another one has a later time.
    Given the records "<records>" of one endpoint, each of a start, at a time in ms, with a number
    When they are applied in this order
    Then the directory tells "<events>"

    Examples: A start is followed whatever its time
      | records                            | events                                  |
      | 5000/7 3000/1 3000/2-leaving       | added, restarted, leaving               |
      | 3000/7 5000/1 5000/2-leaving       | added, restarted, leaving               |
      | 5000/7 3000/1-leaving              | added, restarted                        |
      | 5000/7 removed 3000/1 3000/2       | added, removed, added, changed          |
      | 5000/7 3000/1 4000/1 2000/1 2000/2 | added, restarted, restarted, restarted, changed |

    Examples: A late record of an earlier start changes nothing
      | records                                     | events                                    |
      | 5000/7 3000/1 5000/8 3000/2-leaving         | added, restarted, nothing, leaving        |
      | 3000/7 5000/1 3000/8 5000/2-leaving         | added, restarted, nothing, leaving        |
      | 5000/7 3000/1 5000/8 3000/2 5000/9 3000/3   | added, restarted, nothing, changed, nothing, changed |
      | 5000/7 removed 3000/1 5000/7 3000/2-leaving | added, removed, added, nothing, leaving   |
      | 5000/7 3000/1 removed 5000/7 3000/1 5000/8  | added, restarted, removed, nothing, nothing, nothing |

    Examples: Records that are read once more change nothing
      | records                                   | events                                                    |
      | 5000/6 5000/7 3000/1 5000/6 5000/7 3000/1 | added, changed, restarted, nothing, nothing, nothing      |

    Examples: A start that writes on after a late record of another one is followed again
      | records                                     | events                                            |
      | 5000/7 3000/9 5000/8 5000/9 5000/10-leaving | added, restarted, nothing, restarted, leaving     |

  Scenario: What a peer lists is applied by the time of its start only
    # Guards against a start that is replaced by an earlier one from a peer whose list is older.
    Given the records "5000/7" of one endpoint, each of a start, at a time in ms, with a number
    When they are applied in this order
    Then a peer's record 3000/9 of it changes nothing, and 6000/1 does

  Scenario: An endpoint that said that it leaves is used again after a start with an earlier time
    # Guards against a start that gets nothing because the one before it was leaving.
    Given a placement that lists the start 5000 of an endpoint, which says that it leaves
    When the start 3000 is listed in its place
    Then the endpoint may be used, also when a peer tells once more that the start 5000 leaves
    And it may not be used once the start 3000 says that it leaves

  @each.installation
  Scenario: An endpoint that started again with its clock stepped back gets nothing once it leaves
    # Guards against orders that are lost at the end of an endpoint whose drain was ignored.
    Given a second endpoint "stock-2" of "stock"
    When "stock-2" crashes, and starts again with a time of start 400 ms earlier
    And the endpoint "stock-2" announces that it is leaving
    Then 20 more lookups all reach "stock-1"
