Feature: Routers restart empty, and one customer floods them

  Scenario: every router restarts empty under a flood
    Given a fleet of 3 routers, 1 control hosts, 2 engines and 1 ticket services
    When the flood load runs for 16 seconds
    And router 1 is killed and started again
    And 3 seconds pass
    And router 2 is killed and started again
    And 3 seconds pass
    And router 3 is killed and started again
    And the load has ended
    Then no promise was broken
    And at least 50 requests were answered
