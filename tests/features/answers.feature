Feature: Whole answers
  Every caller gets its own whole answer, whatever happens on the way.

  Scenario: A long sheet is streamed whole
    Given the kitamura fleet
    When workshop in ishikari asks product-sheet as "sheet"
    And 4 seconds pass
    Then "sheet" is answered whole

  Scenario: An engine dies in the middle of a stream
    Given the kitamura fleet
    When workshop in ishikari asks product-sheet as "sheet"
    And 1 second passes
    And the backend server kitamura-writer-0 dies
    And the backend server kitamura-writer-3 dies
    And 5 seconds pass
    Then "sheet" is answered whole

  Scenario: An agent crashes in the middle of a stream
    Given the kitamura fleet
    When workshop in ishikari asks product-sheet as "sheet"
    And 1 second passes
    And the process kitamura-writer-0-agent crashes
    And the process kitamura-writer-3-agent crashes
    And 5 seconds pass
    Then "sheet" is answered whole

  Scenario: Answers are lost and questions come twice
    Given the kitamura fleet
    When the next 3 answers between processes are lost
    And workshop in ishikari asks engraving as "message"
    And the next 6 questions between processes come twice
    And 4 seconds pass
    Then "message" is answered whole

  Scenario: A link to a living agent is cut for a moment
    Given the kitamura fleet
    When workshop in ishikari asks product-sheet as "sheet"
    And 1 second passes
    And nothing gets from entry-ishikari-0 to kitamura-writer-0-agent
    And nothing gets from entry-ishikari-0 to kitamura-writer-3-agent
    And 0.5 seconds pass
    And all links are whole again
    And 4 seconds pass
    Then "sheet" is answered whole

  Scenario: A draining agent ends what it has begun
    Given the kitamura fleet
    When workshop in ishikari asks product-sheet as "sheet"
    And 1 second passes
    And the process kitamura-writer-0-agent starts draining
    And the process kitamura-writer-3-agent starts draining
    And 4 seconds pass
    Then "sheet" is answered whole
    And kitamura-writer-0-agent is drained
    And kitamura-writer-3-agent is drained

  Scenario: A backend server that is leaving gets no new work
    Given the kitamura fleet
    When the backend server kitamura-encoders-0 says that it is leaving
    And 3 seconds pass
    And workshop in ishikari asks engraving as "one"
    And 3 seconds pass
    Then "one" is answered whole
    And kitamura-encoders-0 got no call for 6 seconds

  Scenario: A VM that the list calls leaving gets no new work
    Given the kitamura fleet
    When the VM list says that kitamura-encoders-0-agent is leaving
    And 3 seconds pass
    And workshop in ishikari asks engraving as "one"
    And 3 seconds pass
    Then "one" is answered whole
    And kitamura-encoders-0 got no call for 6 seconds
