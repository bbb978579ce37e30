"""Parts of the capacity benchmark, which measure how costs grow with size."""
