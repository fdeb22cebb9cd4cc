"""Client of the platform's key-value service (the etcd v3 JSON mapping)."""
