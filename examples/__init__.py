"""Examples: two firms' documents, and the demo."""
