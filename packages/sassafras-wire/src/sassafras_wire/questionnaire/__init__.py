"""The operators' questionnaire: an INI file that becomes a document."""
