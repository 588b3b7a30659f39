# Build, test, lint and run. Everything works from a clean checkout with the tool chain alone.

.PHONY: build test lint run rig soak fault-runs guards before trial trial-cost sites

build:
	cargo build --release --locked

# `SKIP` is for tests that are known to fail (KNOWN-RED.txt, .ci/run).
SKIP ?=
test:
	cargo test --workspace --locked -- $(SKIP)

lint:
	cargo fmt --all -- --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# Many seeds of three combined faults each, in virtual time and (fewer) with real processes; many minutes.
# `make rig SEEDS=200 RIG_SEEDS=10`.
SEEDS ?= 200
RIG_SEEDS ?= 10
rig:
	RIG_SEEDS=$(RIG_SEEDS) cargo test --locked -p steprelay --test fleet -- three_faults --nocapture
	SEEDS=$(SEEDS) cargo test --release --locked -p steprelay-fleet --test seeds -- --nocapture
	cargo test --release --locked -p steprelay-fleet --test fleet -- --ignored --nocapture

# Restarts under load, by seed: `make soak SEEDS=50`, or one that failed: `make soak SEED=17`. About 2 s a seed.
# `DEADLINE_MS=300` for calls of another deadline.
SEED ?=
DEADLINE_MS ?=
soak:
	SOAK_SEEDS=$(SEEDS) SOAK_SEED=$(SEED) SOAK_DEADLINE_MS=$(DEADLINE_MS) \
		cargo test --locked -p steprelay --test soak a_process_that_is_told_to_stop -- --nocapture

# Several faults at once, by seed: `make fault-runs SEEDS=50`, or one that failed: `make fault-runs SEED=17`. About 3 s a seed.
fault-runs:
	FAULT_RUNS_SEEDS=$(SEEDS) FAULT_RUNS_SEED=$(SEED) cargo test --locked -p steprelay --test fault_runs -- --nocapture

# Lays beside the sites of deploy/sites what has to be the operators' byte for byte; stays out of the repository.
KIT ?= ../given/kit
sites:
	install -m 644 $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/

# Takes guards out one by one; each has to make a test fail. Some minutes.
guards:
	cargo run -p steprelay-rig --bin guards -- copies/guards.toml
	cargo run -p steprelay-rig --bin guards -- fleet/guards.toml
	cargo run -p steprelay-rig --bin guards -- agent/guards.toml
	cargo run -p steprelay-rig --bin guards -- agent/crossings.toml

# The processor time of a call without a fleet against that of another commit: `make before BASE=HEAD~1`.
BASE ?= HEAD
before:
	rm -rf target/before && git worktree prune && git worktree add -f --detach target/before $(BASE)
	cd target/before && cargo build -q --release --locked -p steprelay
	BEFORE=$(CURDIR)/target/before/target/release/steprelay cargo bench -q --locked -p steprelay --bench fleet
	git worktree remove --force target/before

# Three engines of agreement in one scenario (docs/design/fleet.md).
trial:
	cargo run --release --locked --manifest-path trials/consensus/Cargo.toml

# What each of them costs alone: crates, seconds to build on all cores, octets of the program.
trial-cost:
	@cd trials/consensus && for engine in raft omnipaxos openraft; do \
		rm -rf target/$$engine; began=$$(date +%s); \
		cargo build -q --release --locked --no-default-features --features $$engine --target-dir target/$$engine; \
		echo "$$engine: $$(cargo tree --locked --no-default-features --features $$engine -e normal,build \
			--prefix none | sort -u | wc -l) crates, $$(($$(date +%s) - began)) s, \
			$$(stat -c %s target/$$engine/release/steprelay-trial-consensus) octets"; \
	done

# Serves with the configuration that LB_CONFIG names.
run: build
	target/release/steprelay serve
