"""What the demonstration claims, and whether it held."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Checks:
    """Prints each claim with its verdict and remembers failures."""

    failed: int = 0

    def expect(self, held: bool, claim: str) -> None:
        """Prints a claim and whether it held."""
        if not held:
            self.failed += 1
        print(f"  {'ok    ' if held else 'FAILED'} {claim}", flush=True)

    def title(self, text: str) -> None:
        """Prints the title of a step."""
        print(f"\n{text}", flush=True)
