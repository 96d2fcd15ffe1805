Feature: A booking is sent again under its key
  Only the entry that the caller chose first may start a booking, once, until not-after.

  Scenario: Again to its owner, also while it runs
    Guards against a second run after a lost answer.

    Given booking A was made out to north-a-vm1
    When booking A is sent 3 times at once to north-a-vm1
    Then the answer is complete with code 0
    When booking A is sent to north-a-vm1
    Then the answer is complete with code 0
    And booking A ran 1 times

  Scenario: To another entry
    Guards against a second owner, and against "not run" from an entry that cannot know.

    Given booking A was made out to north-a-vm1
    When booking A is sent to north-a-vm1
    And booking A is sent to south-a-vm1
    Then the answer is unknown with code 204
    And the answer names north-a-vm1
    When the outcome of booking A is asked at north-b-vm1
    Then the answer is unknown with code 204
    When the outcome of booking A is asked at north-a-vm1
    Then the answer is complete with code 0
    And booking A ran 1 times

  Scenario: With another body
    Guards against the answer to one booking being given for another.

    Given booking A was made out to north-a-vm1
    When booking A is sent to north-a-vm1
    And booking A is sent with another body to north-a-vm1
    Then the answer is not-run with code 107
    And booking A ran 1 times

  Scenario: After its time
    Guards against a booking that starts when the caller has given it up.

    Given booking A was made out to north-a-vm1 for 1 s
    When 1.1 s pass
    And booking A is sent to north-a-vm1
    Then the answer is not-run with code 106
    And booking A ran 0 times

  Scenario: It waits at a paused entry beyond its time
    Guards against a resumed entry that starts what it should have started earlier.

    Given booking A was made out to north-a-vm1 for 1 s
    When booking A is sent to north-a-vm1, which is paused for 2 s
    Then the answer is not-run with code 106
    And booking A ran 0 times

  Scenario: After its outcome was asked
    Guards against a booking that starts after its caller was told "not run".

    Given booking A was made out to north-a-vm1
    When the outcome of booking A is asked at north-a-vm1
    Then the answer is not-run with code 108
    When booking A is sent to north-a-vm1
    Then the answer is not-run with code 108
    And booking A ran 0 times

  Scenario: After its owner was replaced
    Guards against "not run" or a second run by a new process that forgot the first.

    Given booking A was made out to south-a-vm2
    When booking A is sent to south-a-vm2
    And the entry process of south-a-vm2 is killed
    And the entry process of south-a-vm2 serves again
    And booking A is sent to south-a-vm2
    Then the answer is unknown with code 204
    When the outcome of booking A is asked at south-a-vm2
    Then the answer is unknown with code 204
    And booking A ran 1 times
