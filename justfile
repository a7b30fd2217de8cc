# Every daily command by name. `just --list` shows them.

# Run the whole system on loopback with an example configuration.
local folder="examples/rimefall" *args="":
    cargo run --release --bin jacinthbeam -- local --config {{folder}} {{args}}

# All tests.
test:
    cargo test --workspace

# What CI runs.
ci:
    .ci/run

# Accept changed golden files after reading them.
golden:
    INSTA_UPDATE=always cargo test --workspace

# Load and faults on a deployment of processes; see docs/MEASUREMENTS.md.
measure folder="examples/rimefall" *args="":
    cargo run --release --bin jacinthbeam -- measure --config {{folder}} {{args}}
