"""
Randomised fault-injection test of the node program, checked from outside.

Real processes of the program run on loopback with test doubles for the platform's
store, the endpoints and the callers. A schedule drawn from a seed injects faults into
processes, connections, the store, endpoints and clocks while operators change the
deployment. Afterwards the requests that callers and endpoints recorded are checked
against the product's guarantees.
"""
