"""A fleet and a day in virtual time, played on the node's own core and policy. No socket, no thread, no real clock."""
