Feature: Between any two backlogged customers the gap in service stays bounded

  Scenario: customers spread unevenly over routers
    Given a fleet of 4 routers, 1 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 10 seconds
    And the load has ended
    Then the gap stayed within twice the largest request and what is in flight
    And no promise was broken
    And nothing was lost or cut

  Scenario: the dispatcher is killed under load
    Given a fleet of 4 routers, 1 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 5 seconds
    And the dispatcher of the model is killed
    And the load has ended
    And the uneven load runs for 10 seconds
    And the load has ended
    Then no promise was broken
    And at least 100 requests were answered

  Scenario: the dispatcher is frozen and thawed under load
    Given a fleet of 4 routers, 1 control hosts, 3 engines and 1 ticket services
    When the light load runs for 14 seconds
    And the dispatcher of the model is frozen for 5 seconds
    And the load has ended
    Then no promise was broken
    And at least 30 requests were answered
