"""
Randomized failures of the node program, checked from outside.

Real processes of the program run on loopback between stand-ins of the platform's
store, endpoints and callers. A schedule drawn from a seed disturbs processes, links,
the store, endpoints and clocks while operators change the deployment; what callers
and endpoints have seen is then checked against the promises of the product.
"""
