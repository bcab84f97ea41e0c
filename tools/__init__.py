"""Tools of the repository: starting processes for the demo, tests and benches."""
