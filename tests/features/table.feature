Feature: One table
  A change is in force everywhere within seconds and never reverts.

  Scenario: A change reaches every entry
    Given the kitamura fleet with 2 entries a region
    When the table is published again
    And 5 seconds pass
    Then every process has table version 2

  Scenario: A table with an error is refused whole
    Given the kitamura fleet
    When a table with an error is published
    And 5 seconds pass
    Then every process has table version 1
    And some entry reports a rejected table

  Scenario: A service that comes back reset reverts nothing
    Given the kitamura fleet
    When the table is published again
    And 5 seconds pass
    And the configuration service comes back with version 1
    And 10 seconds pass
    Then every process has table version 2

  Scenario: Peers bring up a newcomer while the service is down
    Given the kitamura fleet with 2 entries a region
    When the table is published again
    And 5 seconds pass
    And the configuration service is down
    And the process entry-ishikari-0 restarts
    And 5 seconds pass
    Then every process has table version 2


  Scenario: A change right after a reset is in force within seconds
    Given the kitamura fleet
    When the table is published again
    And 5 seconds pass
    And the configuration service comes back with version 1
    And the table is published again
    And 5 seconds pass
    Then every process has table version 3
