"""Client of the append-only log: batched appends, read-back, tail, snapshots and freshness."""
