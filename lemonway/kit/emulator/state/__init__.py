"""The state of machines: cores, memory, what is read and what runs. It knows no router and no node."""
