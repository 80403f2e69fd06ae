"""Fleet-wide settings changes that take effect on every image node or on none: numbered epochs, each decided once by a
majority of the fleet, and the lease without which a node accepts no work. Uses no clock and no socket; driven by the
node's event loop (net/routing/governed.py) and by simulations in virtual time. Design: docs/design/policy-change.md."""
