Feature: Orders at most once
  An order that may not be repeated is executed at most once.

  Scenario: A repeat with the same ticket replays the first answer
    Given the kitamura fleet
    When wholesale in ishikari asks order with a ticket as "crate"
    And 2 seconds pass
    And "crate" is repeated
    And 2 seconds pass
    Then "crate" is answered whole
    And "crate" was executed 1 time

  Scenario: A repeat at another entry joins the run in progress
    Given the kitamura fleet
    When wholesale in ishikari asks order with a ticket as "crate"
    And "crate" is repeated in kamikawa
    And 3 seconds pass
    Then "crate" is answered whole
    And "crate" was executed 1 time

  Scenario: The agent of a ticket restarts before the order comes
    Given the kitamura fleet
    When wholesale in ishikari asks order with a ticket as "crate"
    And 2 seconds pass
    And the process kitamura-orders-0-agent restarts
    And the process kitamura-orders-1-agent restarts
    And the process kitamura-orders-2-agent restarts
    And 3 seconds pass
    And "crate" is repeated
    And 4 seconds pass
    Then "crate" is unknown with ticket_gone
    And "crate" was executed 1 time

  Scenario: Lost answers and repeated questions do not double an order
    Given the kitamura fleet
    When wholesale in ishikari asks order with a ticket as "crate"
    And the next 4 answers between processes are lost
    And the next 9 questions between processes come twice
    And 5 seconds pass
    And "crate" is repeated
    And 5 seconds pass
    Then "crate" is answered whole
    And "crate" was executed 1 time

  Scenario: A key runs once wherever it is sent
    Given the kitamura fleet
    When wholesale in ishikari asks order with the key k-1 as "crate"
    And "crate" is repeated in shiribeshi
    And 3 seconds pass
    And "crate" is repeated in kamikawa
    And 3 seconds pass
    Then "crate" is answered whole
    And "crate" was executed 1 time

  Scenario: A key is refused while its home is too young to know
    Given the kitamura fleet
    When the process kitamura-orders-0-agent restarts
    And the process kitamura-orders-1-agent restarts
    And the process kitamura-orders-2-agent restarts
    And 2 seconds pass
    And wholesale in ishikari asks order with the key k-1 as "crate"
    And 3 seconds pass
    Then "crate" is unknown with order_too_recent_start
    And "crate" was executed 0 times

  Scenario: An order with neither gets one attempt and honest words
    Given the kitamura fleet
    When the backend server kitamura-orders-0 fails its calls
    And the backend server kitamura-orders-1 fails its calls
    And the backend server kitamura-orders-2 fails its calls
    And wholesale in ishikari asks order as "crate"
    And 3 seconds pass
    Then "crate" is unknown with backend_failed

  Scenario: A backend server that refuses has not run the order
    Given the kitamura fleet
    When the backend server kitamura-orders-0 refuses its calls
    And the backend server kitamura-orders-1 refuses its calls
    And the backend server kitamura-orders-2 refuses its calls
    And wholesale in ishikari asks order as "crate"
    And 3 seconds pass
    Then "crate" is refused with backend_refused
    And "crate" was executed 0 times

  Scenario: A frozen agent wakes after its order was given up
    Given the kitamura fleet
    When the process kitamura-orders-0-agent is frozen
    And the process kitamura-orders-1-agent is frozen
    And the process kitamura-orders-2-agent is frozen
    And wholesale in ishikari asks order as "crate"
    And 4 seconds pass
    And the process kitamura-orders-0-agent wakes
    And the process kitamura-orders-1-agent wakes
    And the process kitamura-orders-2-agent wakes
    And 5 seconds pass
    Then "crate" is unknown with deadline_passed
