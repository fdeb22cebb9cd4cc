"""The protocol between nodes: CBOR messages on authenticated websockets."""
