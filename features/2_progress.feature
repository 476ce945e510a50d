Feature: Every class keeps making progress

  Scenario: The lowest tier moves under a flood of the highest
    Given 2 daemons before 2 engines of 4 slots
    When for 12 seconds callers send
      | kind      | per second |
      | questions | 30         |
      | digests   | 0.5        |
    And all answers are in
    Then day-digest never stood still for 10 seconds
    And every caller has a whole answer or a true word

  Scenario: Every tier moves while each of them floods
    Given 2 daemons before 2 engines of 4 slots
    When for 10 seconds callers send
      | kind      | per second |
      | questions | 12         |
      | summaries | 12         |
      | digests   | 12         |
    And all answers are in
    Then day-digest never stood still for 10 seconds
    And block-summary never stood still for 10 seconds
    And every caller has a whole answer or a true word
    And the times to come back are spread
