Feature: A cascade gives the caller one answer

  Scenario Outline: The value of a judge's scores is estimated from ratings
    # The judge need not be calibrated: only the relation of its scores to the ratings matters.
    Given 400 judged and rated answers of which <wrong> in 10 are wrong, with "<judge>" scores
    When the cheapest cutoff that reaches 0.82 with a second version of 0.93 is searched
    Then a cutoff is <found>

    Examples:
      | wrong | judge         | found     |
      | 3     | informative   | found     |
      | 3     | uninformative | not found |
      | 9     | informative   | found     |

  Scenario Outline: A version that is poor alone stays in use if its judge identifies its good answers
    # Both versions are offered at once and serve. Alone the cheap one is too poor, and some hundred
    # ratings show it. Guards against withdrawing it then, before the value of its judge is known or
    # while it is the first step of cascades. A version that no judge makes useful reaches few
    # callers, and at most 50 when all its answers are poor. Each row runs in 12 worlds, each with
    # a seed of its own.
    Given simulated worlds of a cheap version with <poor> in 10 answers poor and "<judge>" scores
    When simulated callers ask for 900 "digest" answers in each
    Then the cheap version ends as <role> in each
    And it answered alone at most <most> times in each, and never in the last 300 requests

    Examples:
      | poor | judge         | role         | most |
      | 5    | informative   | a first step | 150  |
      | 6    | informative   | a first step | 150  |
      | 5    | uninformative | unused       | 150  |
      | 10   | informative   | unused       | 50   |
      | 10   | uninformative | unused       | 50   |

  Scenario: A judge is not evaluated for a class with a short first-token target
    # A first answer is buffered until it is judged. Where whole answers take longer than the
    # first-token target, no cascade can run. Guards against some 60 more poor answers that only
    # serve to evaluate a judge: once shown to be poor, the version is no longer used.
    Given simulated worlds of a class with a short first-token target and a cheap version half poor
    # How good the version looks at first is random, so the median of the worlds counts.
    When simulated callers ask for 900 "digest" answers in each
    Then it answered alone at most 60 times in the median world
    And it answered alone at most 110 times in each, and never in the last 300 requests

  Scenario Outline: The order of the answers doesn't matter
    Given 20 poor and 60 good rated answers with informative scores, <order>
    Then the version was never taken out of service

    Examples:
      | order        |
      | poor first   |
      | good first   |
      | alternating  |

  Scenario: A judge that becomes uninformative is detected
    # The version gave good answers, which were accepted by their scores for an hour. Now its
    # answers are poor at unchanged scores. Guards against keeping it because of its good past.
    Given 600 good rated answers with informative scores
    When 200 poor rated answers follow with the scores of good ones
    Then no cutoff of its judge is trusted, and it is taken out of service

  @fixture.cascade_fleet
  Scenario: Poor first answers are escalated, and callers see one answer
    # Half of the cheap version's answers are poor, and the engine's confidence indicates which. The
    # streaming caller waits for the judge and then gets one whole answer of 40 words from either
    # version, and one bill.
    Given a cheap version with half of its answers poor, an expensive version, and a judge
    When 240 "digest" answers are streamed until some are escalated
    Then each cascade's stream had 40 words and one clean end
    And escalated answers were billed once, for both steps

  @fixture.cascade_fleet
  Scenario: A session gets no cascade
    Given a cheap version with half of its answers poor, an expensive version, and a judge
    When 240 "digest" answers are streamed until some are escalated
    And a session sends 12 "digest" requests
    Then all of the session's answers came from one version
