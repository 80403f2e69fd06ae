"""Models of third-party routers: load balancing, retries, and how they follow nodes' feedback. A router knows only what
it has received itself; nothing in this package reads a node's actual state."""
