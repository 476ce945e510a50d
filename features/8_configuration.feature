Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change is in force on every daemon within seconds
    Given 4 daemons before 1 engines of 4 slots
    When an operator sets it to 77 seconds and waits
    Then the operator's command succeeds
    And every daemon soon has a patience of 77 seconds in force

  Scenario: The platform loses every reply
    Given 2 daemons before 1 engines of 4 slots
    And the platform is losing every reply
    When an operator sets the patience of digests to 78 seconds
    Then the operator's command succeeds
    And every daemon soon has a patience of 78 seconds in force

  Scenario: Two operators race
    Given 3 daemons before 1 engines of 4 slots
    When two operators set it to 81 and to 82 seconds at once
    Then one of them succeeds, and the other is shown the conflict or agrees
    And every daemon has the same patience in force as the platform keeps

  Scenario: A box that starts while the platform is down learns from its peers
    Given 3 daemons before 1 engines of 4 slots
    And an operator sets the patience of digests to 83 seconds
    Then every daemon soon has a patience of 83 seconds in force
    When the platform is down
    And daemon 4 is added in perth-a and knows only its peers
    Then daemon 4 soon answers questions
    And every daemon soon has a patience of 83 seconds in force

  Scenario: The platform goes back to an older state
    Given 3 daemons before 1 engines of 4 slots
    And an operator sets the patience of digests to 84 seconds
    Then every daemon soon has a patience of 84 seconds in force
    When the platform goes back to what it kept before the last change
    And 3 seconds pass
    Then daemon 1 has a patience of 84 seconds in force
    And daemon 2 has a patience of 84 seconds in force
    When daemon 3 is killed
    And daemon 3 is started again
    Then every daemon soon has a patience of 84 seconds in force

  Scenario: Nothing is accepted while the platform is down
    Given 2 daemons before 1 engines of 4 slots
    And the platform is down
    When an operator sets the patience of digests to 85 seconds
    Then the operator's command fails with exit code 4
    And daemon 1 has a patience of 120 seconds in force
