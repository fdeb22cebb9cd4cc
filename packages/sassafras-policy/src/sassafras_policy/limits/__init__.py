"""Rate and burst of each organisation over all hosts together."""
