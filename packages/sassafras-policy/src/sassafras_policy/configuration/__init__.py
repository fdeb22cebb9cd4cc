"""The operators' configuration: document, indexes and the rule of revisions."""
