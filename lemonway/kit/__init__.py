"""The rehearsal kit: stand-ins, scripted cases and a tally of answers."""
