"""Whether a target has room for a call, and whom to refuse when it has not."""
