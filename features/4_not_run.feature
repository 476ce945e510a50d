Feature: What is told as not run was not run

  Scenario: Nobody listens at any endpoint
    Given 1 daemons before 1 engines of 4 slots
    When all plain services are stopped
    And "tag-1" is booked through daemon 1
    Then the caller is told not-run with status 502
    And "tag-1" was run 0 times

  Scenario: A service runs a call and dies before it answers
    Given 1 daemons before 1 engines of 4 slots
    And plain services run calls and die without an answer
    When "tag-2" is booked through daemon 1
    Then the caller is told unknown with status 502
    And "tag-2" was run 1 times

  Scenario: A service says that it refused the call
    Given 1 daemons before 1 engines of 4 slots
    And plain services refuse calls
    When "tag-3" is booked through daemon 1
    Then the caller is told not-run with status 502
    And "tag-3" was run 0 times

  Scenario: Requests that are shed were never started
    Given 2 daemons before 1 engines of 2 slots
    When for 4 seconds callers send
      | kind      | per second |
      | questions | 40         |
    And all answers are in
    Then some field-question were shed, each with a time to come back
    And every caller has a whole answer or a true word
