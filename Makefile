# Build, test, lint and run. Everything works from a clean checkout with the tool chain alone.

.PHONY: build test lint run rig

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Many seeds of three combined faults each, in virtual time; minutes. `make rig SEEDS=200`.
SEEDS ?= 200
rig:
	SEEDS=$(SEEDS) cargo test --release --locked -p steprelay-fleet --test seeds -- --nocapture
	cargo test --release --locked -p steprelay-fleet --test fleet -- --ignored --nocapture

# Serves with the configuration that LB_CONFIG names.
run: build
	target/release/steprelay serve
