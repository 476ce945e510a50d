Feature: A higher tier never gives way to a lower one

  Scenario: A burst of the lowest tier costs the highest nothing
    Given 2 daemons before 2 engines of 4 slots
    When for 6 seconds callers send
      | kind      | per second |
      | digests   | 12         |
      | questions | 3          |
    And all answers are in
    Then every answer to field-question is whole and its own
    And no request of tier 1 was shed by a cell
    And every caller has a whole answer or a true word

  Scenario: A run of a lower tier is moved for a higher one and still finishes
    Given 1 daemons before 1 engines of 2 slots
    When for 5 seconds callers send
      | kind      | per second |
      | digests   | 1          |
      | questions | 2          |
    And all answers are in
    Then at least 1 run was preempted
    And every answer to field-question is whole and its own
    And every answer to day-digest is whole and its own
