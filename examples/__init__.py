"""Examples: the configuration documents of two firms, the demo, library examples and reports."""
