"""The account of the ordinary path: what a request costs the node, by counts that are the same in every run and by CPU
time."""
