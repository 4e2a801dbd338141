Feature: An endpoint that is leaving receives no new work after a few seconds

  Scenario: the platform's list says so
    Given a fleet of 3 routers, 1 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 12 seconds
    And the platform says that engine 1 is leaving
    And 3 seconds pass
    Then engine 1 gets no new work while the others do
    When the load has ended
    Then nothing was lost or cut
    And no promise was broken

  Scenario: an operator says so
    Given a fleet of 3 routers, 3 control hosts, 3 engines and 1 ticket services
    When the uneven load runs for 12 seconds
    And an operator drains engine 2
    And 3 seconds pass
    Then engine 2 gets no new work while the others do
    When the load has ended
    Then nothing was lost or cut

  Scenario: behind a cut the hall's own routers know it too
    Given a fleet of 3 routers, 3 control hosts, 3 engines and 1 ticket services
    When data hall gresik is cut off
    And 3 seconds pass
    And the light load runs for 12 seconds
    And the platform says that engine 3 is leaving
    And 3 seconds pass
    Then engine 3 gets no new work while the others do
