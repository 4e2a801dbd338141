Feature: Operators race each other while votes stand equal, and resend changes after losing the answers

  Scenario: of racing operators one wins
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When 6 operators race on version 1
    Then one wins and the others are told that version 2 stands
    And every router has version 2 in force

  Scenario: operators race while the leader is killed
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When the control leader is killed
    And 6 operators race on version 1
    Then one wins and the others are told that version 2 stands

  Scenario: a resent change gets its first answer, also from a new leader and after restarts
    Given a fleet of 2 routers, 3 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry on version 1
    And operator two declares customer day-ferry on version 2
    Then the change is accepted as version 3
    When the control leader is killed
    And operator one declares customer night-ferry on version 1
    Then the change is accepted as version 2
    When control host 1 is started
    And control host 2 is started
    And control host 3 is started
    And operator one declares customer night-ferry on version 1
    Then the change is accepted as version 2
    And every router has version 3 in force
