"""Models of machines: cores, memory, request reading, and the worker pool. They use neither routers nor nodes."""
