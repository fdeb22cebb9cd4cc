"""Who the neighbours are and which of them are alive."""
