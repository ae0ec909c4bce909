Feature: What the answers to requests tell of a version on trial

  Scenario Outline: A kind of bad answer is counted as the design page says
    # Guards against bad answers of a version on trial that no tally counts.
    Given a version on trial with 40 good answers
    When 8 requests to one of its endpoints end like "<kind>"
    Then <counted> more answers are counted, <bad> of them bad and <slow> slow

    Examples: Counted each
      | kind                                                        | counted | bad | slow |
      | an error answer                                             | 8       | 8   | 0    |
      | an error answer after 3 s                                   | 8       | 8   | 8    |
      | an error answer after which no retry is left                | 8       | 8   | 0    |
      | silence until the timeout while others are answered         | 8       | 8   | 8    |
      | silence until the deadline while others are answered        | 8       | 8   | 8    |
      | silence after eight events while others are answered        | 8       | 8   | 0    |

    Examples: Counted once for all that an endpoint does at one moment
      | kind                                                        | counted | bad | slow |
      | an answer broken off before its first event                 | 8       | 1   | 0    |
      | an answer broken off after eight events                     | 8       | 1   | 0    |
      | bytes that don't answer the request                         | 8       | 1   | 0    |
      | silence until the timeout while others wait too             | 8       | 1   | 8    |

    Examples: Counted as slow
      | kind                                                        | counted | bad | slow |
      | a first event that comes late                               | 8       | 0   | 8    |
      | events that come slowly                                     | 8       | 0   | 8    |
      | a caller that leaves after 8 s without an event             | 8       | 0   | 8    |

    Examples: Counted as good
      | kind                                                        | counted | bad | slow |
      | events that come slowly from the seventh on                 | 8       | 0   | 0    |
      | one pause beyond the route's target                         | 8       | 0   | 0    |
      | a caller that leaves after eight events and 8 s             | 8       | 0   | 0    |
      | an answer without an event                                  | 8       | 0   | 0    |
      | an answer that a larger model replaces                      | 8       | 0   | 0    |

    Examples: Not counted
      | kind                                                        | counted | bad | slow |
      | a rejection                                                 | 0       | 0   | 0    |
      | a rejection with a demand to stay away                      | 0       | 0   | 0    |
      | a rejection by another lifetime                             | 0       | 0   | 0    |
      | a send that a peer withholds                                | 0       | 0   | 0    |
      | a connection that isn't opened                              | 0       | 0   | 0    |
      | a caller that leaves after 0.4 s without an event           | 0       | 0   | 0    |
