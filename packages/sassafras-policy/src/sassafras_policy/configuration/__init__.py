"""The operators' configuration: document, edits, validation and indexes."""
