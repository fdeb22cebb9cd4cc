"""The checks of the demonstration."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Checks:
    """Prints each check with its result and counts failures."""

    failed: int = 0

    def expect(self, passed: bool, claim: str) -> None:
        """Prints a claim and whether it is true."""
        if not passed:
            self.failed += 1
        print(f"  {'ok    ' if passed else 'FAILED'} {claim}", flush=True)

    def title(self, text: str) -> None:
        """Prints the title of a step."""
        print(f"\n{text}", flush=True)
