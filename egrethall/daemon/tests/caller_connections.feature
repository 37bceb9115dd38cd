@isolated
Feature: Crowds of connections to a stand-alone instance
  Guards against callers that leave no descriptor to others, to upstreams and to operators,
  also if they connect anew whenever they are disconnected.

  Scenario: Silent callers that come back open more connections than there are descriptors
    Given a stand-alone instance with 300 descriptors
    When 600 callers connect, send nothing and come back when they are disconnected
    Then the stand-alone instance lives and has at most 200 descriptors
    And the stand-alone instance answers an ordinary call while they stay
