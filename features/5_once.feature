Feature: A request that is not repeatable runs at most once

  Scenario: A kept connection proves dead after the call was taken
    Given 1 daemons before 1 engines of 4 slots
    And "tag-1" is booked through daemon 1
    And plain services run calls and die without an answer
    When "tag-2" is booked through daemon 1
    And "tag-3" is booked through daemon 1
    Then no call was run twice
    And "tag-3" was run 1 times

  Scenario: A caller comes back with its key through another box after a crash
    Given 3 daemons before 1 engines of 4 slots
    And plain services take 3 seconds a call
    When "tag-4" is being booked with key "k-4" through daemon 1
    And daemon 1 is killed
    And "tag-4" is booked with key "k-4" through daemon 2
    Then the caller is told unknown with status 409
    And "tag-4" was run 1 times

  Scenario: A call with a key that already ran is not run again
    Given 3 daemons before 1 engines of 4 slots
    And "tag-5" is booked with key "k-5" through daemon 1
    When "tag-5" is booked with key "k-5" through daemon 3
    Then the caller is told done with status 409
    And "tag-5" was run 1 times

  Scenario: The platform takes a claim and its reply is lost
    Given 2 daemons before 1 engines of 4 slots
    And the platform is losing every reply
    When "tag-6" is booked with key "k-6" through daemon 1
    Then the caller has the answer
    And "tag-6" was run 1 times

  Scenario: The platform is down when a key has to be claimed
    Given 2 daemons before 1 engines of 4 slots
    And the platform is down
    When "tag-7" is booked with key "k-7" through daemon 1
    Then the caller is told not-run with status 503
    And "tag-7" was run 0 times
