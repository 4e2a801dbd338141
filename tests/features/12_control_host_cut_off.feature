Feature: A control host can be cut off in silence for a long time

  Scenario: the leader is cut off, neither accepts nor disturbs, and rejoins
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When the control leader is cut off in silence
    And operator one declares customer night-ferry
    Then the change is accepted as version 2
    And every router has version 2 in force
    When all links are mended
    And operator two declares customer day-ferry
    Then the change is accepted as version 3
    And every router has version 3 in force

  Scenario: the leader is frozen for long and thawed
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When the control leader is frozen for 4 seconds
    And operator one declares customer night-ferry
    Then the change is accepted as version 2
    And every router has version 2 in force
