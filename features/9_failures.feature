Feature: Failures, alone and in pairs

  Scenario: A daemon is killed
    Given 3 daemons before 3 engines of 6 slots
    When for 6 seconds callers who ask for entry addresses send
      | kind           | per second |
      | questions      | 8          |
      | bin-tag checks | 4          |
    And 2 seconds pass
    And daemon 2 is killed
    And all answers are in
    Then only callers of daemon 2 may be without a word
    And no call was run twice

  Scenario: The owner of a cell is paused and wakes up
    Given 3 daemons before 3 engines of 6 slots
    When for 12 seconds callers who ask for entry addresses send
      | kind           | per second |
      | questions      | 8          |
      | bin-tag checks | 4          |
    And 2 seconds pass
    And the owner of vintage-lm/home/0 is paused for 5 seconds
    And all answers are in
    Then every caller has a whole answer or a true word
    And no call was run twice
    And no answer repeats or mixes tokens

  Scenario: The platform is cut off under load
    Given 3 daemons behind proxies before 3 engines
    When for 8 seconds callers send
      | kind           | per second |
      | questions      | 8          |
      | bin-tag checks | 4          |
    And 1 seconds pass
    And the network to the platform is cut for 4 seconds
    And all answers are in
    Then every answer is whole and its own
    And no call was run twice

  Scenario: What peers send to one daemon is lost for a while
    Given 3 daemons behind proxies before 3 engines
    When for 10 seconds callers send
      | kind           | per second |
      | questions      | 8          |
      | bin-tag checks | 4          |
    And 1 seconds pass
    And what peers send to daemon 1 is cut for 4 seconds
    And all answers are in
    Then every answer is whole and its own
    And no call was run twice

  Scenario: A slow engine that reports no load is found
    Given 2 daemons before 3 engines of 6 slots
    And engine 1 is told to run 20 times slower and report no load
    When for 10 seconds callers send
      | kind      | per second |
      | questions | 12         |
    Then engine 1 is soon ejected
    When all answers are in
    Then every answer is whole and its own

  Scenario: The platform is down and the owner of a cell is killed
    Given 3 daemons before 3 engines of 2 slots
    When for 8 seconds callers who ask for entry addresses send
      | kind           | per second |
      | questions      | 8          |
      | summaries      | 8          |
      | bin-tag checks | 4          |
    And 1 seconds pass
    And the platform is down
    And the owner of vintage-lm/home/0 is killed
    And all answers are in
    Then only callers of the killed daemon may be without a word
    And no call was run twice

  Scenario: An engine crashes while the owner of its cell is paused
    Given 3 daemons before 3 engines of 6 slots
    When for 10 seconds callers send
      | kind      | per second |
      | questions | 8          |
    And 1 seconds pass
    And engine 1 crashes for 2 seconds
    And the owner of vintage-lm/home/0 is paused for 3 seconds
    And all answers are in
    Then every caller has a whole answer or a true word
    And no answer repeats or mixes tokens
