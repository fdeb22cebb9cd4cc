"""Errors that name the failed step and the peer involved."""


class SassafrasError(Exception):
    """Base of all errors that name what failed and what to do about it.

    Attributes:
      step: The step that failed, such as `store.watch`.
      peer: The address or name of the other side, or `local`.
      problem: What went wrong.
      advice: What an operator can do about it; may be empty.
    """

    def __init__(
        self, step: str, peer: str, problem: str, advice: str = ""
    ) -> None:
        self.step = step
        self.peer = peer
        self.problem = problem
        self.advice = advice
        text = f"{step} [{peer}]: {problem}"
        super().__init__(f"{text}; {advice}" if advice else text)


class ProtocolError(SassafrasError):
    """The other side sent something that its protocol does not allow."""


class UnreachableError(SassafrasError):
    """The other side could not be reached; nothing was sent to it."""


class RefusedError(UnreachableError):
    """No process accepts connections at the other side's address."""


class ConnectionLostError(SassafrasError):
    """The connection ended after something may have been sent on it."""


class MemoryLimitError(SassafrasError):
    """This process has no memory left for what the other side sends."""


class AuthenticationError(SassafrasError):
    """The other side did not prove its identity."""


class InvalidInputError(SassafrasError):
    """Input from a person or a file is not valid.

    Attributes:
      faults: Every fault found, one line each.
    """

    def __init__(self, step: str, peer: str, faults: list[str]) -> None:
        self.faults = faults
        super().__init__(step, peer, "\n  ".join(["invalid input:", *faults]))
