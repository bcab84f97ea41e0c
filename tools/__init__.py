"""Tools of the repository: the demo, benchmarks, measurements and generated pages."""
