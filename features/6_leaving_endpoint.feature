Feature: An endpoint that is leaving receives no new work

  Scenario: An engine is listed as leaving under load, and comes back
    Given 3 daemons before 3 engines of 6 slots
    When for 14 seconds callers send
      | kind      | per second |
      | questions | 15         |
    And 1 seconds pass
    And engine 1 is listed as leaving
    And 3 seconds pass
    And the work of engine 1 is noted
    And 3 seconds pass
    Then engine 1 has had no new work since
    When engine 1 is listed as live
    And 6 seconds pass
    Then engine 1 has had new work since
    When all answers are in
    Then every answer is whole and its own

  Scenario: An engine leaves while the owner of its cell is killed
    Given 3 daemons before 3 engines of 6 slots
    When for 10 seconds callers send
      | kind      | per second |
      | questions | 10         |
    And 1 seconds pass
    And engine 1 is listed as leaving
    And the owner of vintage-lm/home/0 is killed
    And 3 seconds pass
    And the work of engine 1 is noted
    And 3 seconds pass
    Then engine 1 has had no new work since
    When all answers are in
    Then only callers of the killed daemon may be without a word
