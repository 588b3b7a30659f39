//! A store on disk of the calls established on circuits, which are released after a crash of this process.
//!
//! A call is added when it is established and removed when it ends. A separate thread writes the records, so
//! the call path never waits for the disk. Records that are not committed when the process dies (those of the
//! time of its last commit) are lost, and so are records that do not fit into the queue. In both cases the
//! state of the call's circuit is unknown after the restart, as it is without the file.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;

use redb::{Database, ReadableTable, TableDefinition};
use steprelay_signalling::circuits::CallRef;
use steprelay_signalling::Circuit;

/// Call ids by peer name, whether the peer is a client, and circuit.
const CALLS: TableDefinition<(&str, bool, u16), u64> = TableDefinition::new("calls");
/// The owner and the layout version of the file.
const METADATA: TableDefinition<&str, &str> = TableDefinition::new("about");
/// Version of the table layout.
const LAYOUT_VERSION: &str = "1";
/// Capacity of the queue of records to the writer thread.
const QUEUE_CAPACITY: usize = 4096;
/// Most records in one commit.
const MAX_BATCH: usize = 1024;

/// Why the file of established calls cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CallStoreError {
    #[error("m3ua: kept_calls: {}: {error}", path.display())]
    Unusable { path: PathBuf, error: Box<redb::Error> },
    #[error("m3ua: kept_calls: {}: {what} is '{found}', expected '{expected}'", path.display())]
    Mismatch { path: PathBuf, what: &'static str, found: String, expected: String },
}

/// A call established on a circuit, or no call where the last one has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    pub peer: String,
    pub is_client: bool,
    pub circuit: Circuit,
    pub call: Option<CallRef>,
}

/// The open file and its writer thread.
#[derive(Debug)]
pub struct CallStore {
    records: Option<SyncSender<CallRecord>>,
    writer: Option<JoinHandle<()>>,
    lost_records: Arc<AtomicU64>,
}

impl CallStore {
    /// Opens or creates the file of this call agent; returns the calls that it has as established.
    ///
    /// # Errors
    /// The file cannot be opened or read, belongs to another call agent or has another layout version.
    pub fn open(path: &Path, agent: &str) -> Result<(Self, Vec<CallRecord>), CallStoreError> {
        let unusable =
            |error: redb::Error| CallStoreError::Unusable { path: path.into(), error: Box::new(error) };
        let database = Database::create(path).map_err(|error| unusable(error.into()))?;
        for (what, expected) in [("call agent", agent), ("layout", LAYOUT_VERSION)] {
            let found = read_or_insert_metadata(&database, what, expected).map_err(unusable)?;
            if found != expected {
                let expected = expected.to_string();
                return Err(CallStoreError::Mismatch { path: path.into(), what, found, expected });
            }
        }
        let calls = read_calls(&database).map_err(unusable)?;
        let (sender, queue) = sync_channel(QUEUE_CAPACITY);
        let lost_records = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost_records);
        let writer = std::thread::spawn(move || run_writer(&database, &queue, &counter));
        Ok((CallStore { records: Some(sender), writer: Some(writer), lost_records }, calls))
    }

    /// Queues a record for writing; counts it as lost if the queue is full.
    pub fn put(&self, record: CallRecord) {
        if self.records.as_ref().is_none_or(|records| records.try_send(record).is_err()) {
            self.lost_records.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Number of records that were not written.
    pub fn lost_records(&self) -> u64 {
        self.lost_records.load(Ordering::Relaxed)
    }
}

impl Drop for CallStore {
    /// Waits until the queued records are written.
    fn drop(&mut self) {
        self.records = None;
        if let Some(writer) = self.writer.take() {
            // A panic of the writer has already been reported by the panic hook.
            let _ = writer.join();
        }
    }
}

/// Reads an entry of the file's metadata; inserts the expected value where there is none, as in a new file.
fn read_or_insert_metadata(
    database: &Database,
    what: &'static str,
    expected: &str,
) -> Result<String, redb::Error> {
    let transaction = database.begin_write()?;
    let found = {
        let mut table = transaction.open_table(METADATA)?;
        let found = table.get(what)?.map(|found| found.value().to_string());
        if found.is_none() {
            table.insert(what, expected)?;
        }
        found
    };
    transaction.commit()?;
    Ok(found.unwrap_or_else(|| expected.to_string()))
}

fn read_calls(database: &Database) -> Result<Vec<CallRecord>, redb::Error> {
    let transaction = database.begin_write()?;
    let mut records = Vec::new();
    {
        let table = transaction.open_table(CALLS)?;
        for entry in table.iter()? {
            let (key, call) = entry?;
            let (peer, is_client, circuit) = key.value();
            let call = Some(CallRef(call.value()));
            records.push(CallRecord { peer: peer.into(), is_client, circuit, call });
        }
    }
    transaction.commit()?;
    Ok(records)
}

/// Runs the writer thread: commits the queued records in batches of at most [`MAX_BATCH`].
fn run_writer(database: &Database, queue: &Receiver<CallRecord>, lost_records: &AtomicU64) {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        batch.extend(queue.try_iter().take(MAX_BATCH - 1));
        if let Err(error) = commit(database, &batch) {
            // The call agent goes on serving: only the first failure is logged, the others are counted.
            if lost_records.fetch_add(batch.len() as u64, Ordering::Relaxed) == 0 {
                eprintln!("steprelay: m3ua: cannot store established calls: {error}");
            }
        }
    }
}

fn commit(database: &Database, batch: &[CallRecord]) -> Result<(), redb::Error> {
    let transaction = database.begin_write()?;
    {
        let mut table = transaction.open_table(CALLS)?;
        for CallRecord { peer, is_client, circuit, call } in batch {
            let key = (peer.as_str(), *is_client, *circuit);
            match call {
                Some(call) => table.insert(key, call.0)?,
                None => table.remove(key)?,
            };
        }
    }
    transaction.commit()?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn file(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("steprelay-{}-{name}.redb", std::process::id()));
        let _ = std::fs::remove_file(&path);
        path
    }

    fn record(circuit: Circuit, call: Option<u64>) -> CallRecord {
        CallRecord { peer: "branch-a".into(), is_client: true, circuit, call: call.map(CallRef) }
    }

    #[test]
    fn established_calls_are_restored_and_ended_calls_are_not() {
        let path = file("again");
        let (store, before) = CallStore::open(&path, "n0").expect("new");
        assert!(before.is_empty());
        for step in
            [record(5, Some(7)), record(6, Some(8)), record(5, None), record(9, Some(9)), record(9, Some(10))]
        {
            store.put(step);
        }
        drop(store);
        let (store, restored) = CallStore::open(&path, "n0").expect("its own");
        assert_eq!(restored, [record(6, Some(8)), record(9, Some(10))]);
        assert_eq!(store.lost_records(), 0);
        drop(store);
        std::fs::remove_file(path).expect("it is there");
    }

    #[test]
    fn a_file_of_another_agent_or_of_another_format_is_rejected_with_its_path() {
        let path = file("other");
        drop(CallStore::open(&path, "n0").expect("new"));
        let message = CallStore::open(&path, "n1").expect_err("another's").to_string();
        assert!(
            message.ends_with("call agent is 'n0', expected 'n1'") && message.contains("other.redb"),
            "{message}"
        );
        std::fs::write(&path, "no such file").expect("written");
        assert!(matches!(CallStore::open(&path, "n0"), Err(CallStoreError::Unusable { .. })));
        std::fs::remove_file(path).expect("it is there");
    }
}
