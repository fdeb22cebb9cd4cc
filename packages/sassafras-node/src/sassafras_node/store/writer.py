"""Writes the configuration on behalf of operators."""

import result

from sassafras_node import runtime as runtimes
from sassafras_node.peers import handlers
from sassafras_node.store import keys
from sassafras_policy.configuration import document as documents
from sassafras_wire.store import configuration_writer


async def write(
    runtime: runtimes.Runtime,
    document: documents.Document,
    expected_revision: int,
) -> configuration_writer.WriteResult:
    """Stores a document as the revision after `expected_revision`.

    The node activates the stored revision at once and propagates it to its
    neighbours, without waiting for the availability zone's watcher.

    Args:
      runtime: The node.
      document: The new content; its revision and write id are replaced.
      expected_revision: Revision that the change is based on; 0 if there is no
        document yet.
    """
    writer = configuration_writer.ConfigurationWriter(
        runtime.store, keys.CONFIGURATION
    )
    outcome = await writer.write(document, expected_revision)
    stored: documents.Document | None = None
    if isinstance(outcome, result.Ok):
        stored = outcome.ok_value.document
    elif isinstance(outcome.err_value, configuration_writer.Conflict):
        stored = outcome.err_value.document
    if stored is not None:
        handlers.activate_configuration(runtime, stored, "store")
    return outcome
