Feature: Each caller receives the whole answer to its own request

  Scenario: An engine cuts streams in the middle of events
    Given 2 daemons before 3 engines of 6 slots
    And engine 1 is told to cut streams in the middle of an event
    When for 5 seconds callers send
      | kind      | per second |
      | questions | 8          |
      | summaries | 4          |
    And all answers are in
    Then every answer is whole and its own

  Scenario: An engine answers for another request
    Given 2 daemons before 3 engines of 6 slots
    And engine 2 is told to answer for another request
    When for 5 seconds callers send
      | kind      | per second |
      | questions | 8          |
    And all answers are in
    Then every answer is whole and its own

  Scenario: An engine crashes in the middle of answers, twice
    Given 2 daemons before 3 engines of 6 slots
    When for 8 seconds callers send
      | kind      | per second |
      | questions | 6          |
      | summaries | 4          |
    And 2 seconds pass
    And engine 1 crashes for 1 seconds
    And 3 seconds pass
    And engine 2 crashes for 1 seconds
    And all answers are in
    Then every answer is whole and its own

  Scenario: A whole answer is put together from a broken stream
    Given 1 daemons before 2 engines of 6 slots
    And engine 1 is told to cut streams in the middle of an event
    And engine 2 is told to cut streams in the middle of an event
    When a whole answer is asked for through daemon 1
    Then the whole answer is the caller's own
