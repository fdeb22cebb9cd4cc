"""Rate limits of organisations: admission and token exchange."""
