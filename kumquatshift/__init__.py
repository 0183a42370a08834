"""A layer-4 load balancer whose many small nodes keep flows whole."""

import os

__version__ = "0.1.0"

# gRPC reads this when it is first imported. It writes a line of its own to
# standard error for each failed handshake, so a stranger could flood the log.
os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
