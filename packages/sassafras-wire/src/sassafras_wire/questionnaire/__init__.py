"""The operators' questionnaire, the INI source of the configuration."""
