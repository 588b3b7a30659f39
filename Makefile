# Build, test, lint and run. Everything works from a clean checkout with the tool chain alone.

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Serves with the configuration that LB_CONFIG names.
run: build
	target/release/steprelay serve
