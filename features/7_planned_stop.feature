Feature: A planned stop cuts off no request in flight

  Scenario: One daemon is stopped under load
    Given 3 daemons before 3 engines of 6 slots
    When for 8 seconds callers who ask for entry addresses send
      | kind           | per second |
      | questions      | 6          |
      | summaries      | 4          |
      | bin-tag checks | 4          |
    And 2 seconds pass
    And daemon 1 is told to stop
    Then every other daemon soon knows that daemon 1 is leaving
    And no daemon names daemon 1 as an entry address
    And daemon 1 ends by itself with exit code 0
    When all answers are in
    Then every answer is whole and its own
    And no call was run twice
    And no caller was refused a connection

  Scenario: All daemons are restarted one after another under load
    Given 3 daemons before 3 engines of 6 slots
    When for 20 seconds callers who ask for entry addresses send
      | kind           | per second |
      | questions      | 5          |
      | summaries      | 3          |
      | bin-tag checks | 3          |
    And 1 seconds pass
    And all daemons are restarted one after another
    And all answers are in
    Then every answer is whole and its own
    And no call was run twice
    And no caller was refused a connection
