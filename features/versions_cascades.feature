Feature: A cascade gives the caller one answer

  Scenario Outline: What a judge's score is worth is learnt from ratings
    # The judge is not calibrated: only its relation to ratings counts.
    Given 400 judged and rated answers of which <wrong> in 10 are wrong, with "<judge>" scores
    When the cheapest cut that reaches 0.82 with a second version of 0.93 is looked for
    Then a cut is <found>

    Examples:
      | wrong | judge   | found     |
      | 3     | telling | found     |
      | 3     | blind   | not found |
      | 9     | telling | found     |

  Scenario Outline: A version that is poor alone stays where its judge tells its good answers
    # Both versions are offered at once and serve. Alone the cheap one is plainly too
    # poor, and some hundred ratings show it: it was withdrawn then, often before its
    # judge was learnt, and else in the middle of its cascades. What no judge makes
    # useful reaches few callers all the same, and when all its answers are poor no
    # more than 50. Each row in 12 worlds, each with a seed of its own.
    Given simulated worlds of a cheap version with <poor> in 10 answers poor and "<judge>" scores
    When simulated callers ask for 900 "digest" answers in each
    Then the cheap version ends as <role> in each
    And it answered alone at most <most> times in each, and never in the last 300 requests

    Examples:
      | poor | judge   | role         | most |
      | 5    | telling | a first step | 150  |
      | 6    | telling | a first step | 150  |
      | 5    | blind   | unused       | 150  |
      | 10   | telling | unused       | 50   |
      | 10   | blind   | unused       | 50   |

  Scenario: A class whose first token can't wait learns no judge
    # A first answer is held back until it is judged. Where whole answers take longer
    # than the first token may, no cascade will ever run: some 60 more callers got poor
    # answers for a judge that was never used. Once shown poor the version is left.
    Given simulated worlds of a class that can't wait and a cheap version half poor
    # Chance decides how good it looks at first, so the middle of the worlds counts.
    When simulated callers ask for 900 "digest" answers in each
    Then it answered alone at most 60 times in the middle one of them
    And it answered alone at most 110 times in each, and never in the last 300 requests

  Scenario Outline: The order in which answers come decides nothing
    Given 20 poor and 60 good rated answers with telling scores, <order>
    Then the version was at no moment taken out of service

    Examples:
      | order        |
      | poor first   |
      | good first   |
      | in turns     |

  Scenario: A judge that goes blind is noticed
    # The version answered well and was accepted by its score for an hour. Now its
    # answers are poor at an unchanged score: the good past must not keep it.
    Given 600 good rated answers with telling scores
    When 200 poor rated answers come with the scores of good ones
    Then no cut of its judge is trusted, and it is taken out of service

  @fixture.cascade_fleet
  Scenario: Poor first answers are escalated, and callers see one answer
    # The cheap version's answers are half poor, and the engine's confidence tells
    # which. The streaming caller waits for the judge and then gets one whole
    # answer of 40 words, whichever version it came from, and one bill.
    Given cheap answers that are half poor, beside a dear version, with a judge
    When 240 "digest" answers are streamed until some are escalated
    Then each cascade's stream had 40 words and one clean end
    And escalated answers were billed once, for both steps

  @fixture.cascade_fleet
  Scenario: A session gets no cascade
    Given cheap answers that are half poor, beside a dear version, with a judge
    When 240 "digest" answers are streamed until some are escalated
    And a session sends 12 "digest" requests
    Then all of the session's answers came from one version
