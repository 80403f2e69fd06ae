"""What the program costs by size: each cost measured at several sizes in one run, fitted, and set against the size that
is planned for. ``python -m benchmarks.slopes`` plays all probes again; ``docs/CAPACITY.md`` stands on them."""
