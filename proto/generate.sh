#!/usr/bin/env bash
# Regenerates zinniaspoke/proto from proto/*.proto (needs the dev extras).
set -euo pipefail
cd "$(dirname "$0")"
python -m grpc_tools.protoc -I zinniaspoke/proto=. --python_out=.. \
    --grpc_python_out=.. zinniaspoke/proto/peer.proto zinniaspoke/proto/control.proto
rm -f ../zinniaspoke/proto/peer_pb2_grpc.py
