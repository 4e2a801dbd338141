Feature: A configuration, once accepted, is in force on every router within seconds and never reverts

  Scenario: a change reaches every router
    Given a fleet of 4 routers, 3 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry
    Then the change is accepted as version 2
    And every router has version 2 in force

  Scenario: a wrong change is refused with field and remedy
    Given a fleet of 2 routers, 1 control hosts, 1 engines and 1 ticket services
    When operator one applies: customers: [{name: a, share: 0}]
    Then the change is refused because of customers.a.share
    When operator two applies: customers: [{name: a, shares: 1}]
    Then the change is refused because of document
    When operator three declares customer b
    Then the change is accepted as version 2

  Scenario: a router back empty has the newest version before it serves
    Given a fleet of 3 routers, 3 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry
    And router 2 is killed and started again
    Then router 2 has version 2 in force
    When night-ferry chats through router 2 for 5 tokens
    Then the answer is answered

  Scenario: without any control host a router back empty learns from its peers
    Given a fleet of 3 routers, 1 control hosts, 1 engines and 1 ticket services
    When operator one declares customer night-ferry
    Then every router has version 2 in force
    When control host 1 is killed
    And router 2 is killed and started again
    Then router 2 has version 2 in force
    And router 2 says that it is stale
