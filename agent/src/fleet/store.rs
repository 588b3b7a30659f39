//! The persisted state of a member, in one `redb` database. All changes between two sends go into one
//! transaction, which is on disk before the second send.

use std::path::{Path, PathBuf};

use redb::{Database, ReadableTable, TableDefinition};
use steprelay_fleet::consensus::{PersistedLog, Write};
use steprelay_fleet::node::PersistentState;

/// Entries of the consensus log, by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The consensus hard state, the snapshot, the member's state and its owner, under `hard`, `snapshot`, `page`
/// and `about`.
const PAGES: TableDefinition<&str, &[u8]> = TableDefinition::new("pages");
/// The version of this layout.
const LAYOUT: &str = "1";

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("{}: {error}", path.display())]
    Directory { path: PathBuf, error: std::io::Error },
    #[error("{}: {error}", path.display())]
    Unusable { path: PathBuf, error: Box<redb::Error> },
    #[error("{}: it belongs to {found}, not to {expected}", path.display())]
    OtherOwner { path: PathBuf, found: String, expected: String },
    #[error("{}: its state cannot be read", path.display())]
    Corrupt { path: PathBuf },
}

/// A change to be written.
pub enum Change {
    Log(Write),
    State(Box<PersistentState>),
    /// Replaces the log.
    Replace(Box<PersistentState>, Option<Write>),
}

pub struct Store {
    path: PathBuf,
    database: Database,
}

impl Store {
    /// Opens the directory's database, or creates both; a new one starts with `first`.
    ///
    /// # Errors
    /// The database cannot be used, or belongs to another cluster or member.
    pub fn open(
        directory: &Path,
        cluster: &str,
        name: &str,
        first: impl FnOnce() -> PersistentState,
    ) -> Result<(Self, PersistentState, PersistedLog), StoreError> {
        std::fs::create_dir_all(directory)
            .map_err(|error| StoreError::Directory { path: directory.into(), error })?;
        let path = directory.join("fleet.redb");
        let unusable =
            |error: redb::Error| StoreError::Unusable { path: path.clone(), error: Box::new(error) };
        let database = Database::create(&path).map_err(|error| unusable(error.into()))?;
        let store = Store { path: path.clone(), database };
        let expected = format!("cluster {cluster}, member {name}, layout {LAYOUT}");
        let (owner, state) = store.read_owner_and_state().map_err(unusable)?;
        if let Some(found) = owner.filter(|found| *found != expected) {
            return Err(StoreError::OtherOwner { path, found, expected });
        }
        let state = match state {
            Some(bytes) => {
                PersistentState::from_bytes(&bytes).ok_or(StoreError::Corrupt { path: path.clone() })?
            }
            None => first(),
        };
        let log = store.load_log(&expected).map_err(unusable)?;
        Ok((store, state, log))
    }

    fn read_owner_and_state(&self) -> Result<(Option<String>, Option<Vec<u8>>), redb::Error> {
        let transaction = self.database.begin_write()?;
        let found = {
            let table = transaction.open_table(PAGES)?;
            let owner = table.get("about")?.map(|owner| String::from_utf8_lossy(owner.value()).into_owned());
            let state = table.get("page")?.map(|state| state.value().to_vec());
            (owner, state)
        };
        transaction.commit()?;
        Ok(found)
    }

    fn load_log(&self, owner: &str) -> Result<PersistedLog, redb::Error> {
        let transaction = self.database.begin_write()?;
        let mut persisted = PersistedLog::default();
        {
            let mut table = transaction.open_table(PAGES)?;
            table.insert("about", owner.as_bytes())?;
            let of = |name| {
                Ok::<_, redb::Error>(table.get(name)?.map_or(Vec::new(), |state| state.value().to_vec()))
            };
            (persisted.hard, persisted.snapshot) = (of("hard")?, of("snapshot")?);
            let log = transaction.open_table(LOG)?;
            for entry in log.iter()? {
                persisted.entries.push(entry?.1.value().to_vec());
            }
        }
        transaction.commit()?;
        Ok(persisted)
    }

    /// Writes the changes in one transaction; they are on disk on return.
    ///
    /// # Errors
    /// The disk rejects the write. The messages that depend on it must not be sent.
    pub fn write(&self, changes: Vec<Change>) -> Result<(), StoreError> {
        let done = self.write_transaction(changes);
        done.map_err(|error| StoreError::Unusable { path: self.path.clone(), error: Box::new(error) })
    }

    fn write_transaction(&self, changes: Vec<Change>) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut table = transaction.open_table(PAGES)?;
            let mut log = transaction.open_table(LOG)?;
            for change in changes {
                let write = match change {
                    Change::Log(write) => Some(write),
                    Change::State(state) => {
                        table.insert("page", state.to_bytes().as_slice())?;
                        None
                    }
                    Change::Replace(state, write) => {
                        table.insert("page", state.to_bytes().as_slice())?;
                        table.remove("hard")?;
                        table.remove("snapshot")?;
                        log.retain(|_, _| false)?;
                        write
                    }
                };
                match write {
                    Some(Write::HardState(bytes)) => {
                        table.insert("hard", bytes.as_slice())?;
                    }
                    Some(Write::Entries(entries)) => {
                        if let Some((first, _)) = entries.first() {
                            log.retain_in::<u64, _>(*first.., |_, _| false)?;
                        }
                        for (index, bytes) in entries {
                            log.insert(index, bytes.as_slice())?;
                        }
                    }
                    Some(Write::Snapshot { index, bytes, replace_all }) => {
                        table.insert("snapshot", bytes.as_slice())?;
                        if replace_all {
                            log.retain(|_, _| false)?;
                        } else {
                            log.retain_in::<u64, _>(..=index, |_, _| false)?;
                        }
                    }
                    None => {}
                }
            }
        }
        transaction.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn directory(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("steprelay-store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        path
    }

    #[test]
    fn written_state_is_read_at_the_next_start() {
        let path = directory("next");
        let first = || PersistentState::first(7);
        let (store, mut state, _) = Store::open(&path, "kl", "n1", first).expect("opens");
        assert_eq!(state.node, 7);
        state.incarnation = 3;
        let entries = (1..=5).map(|index| (index, vec![index as u8])).collect();
        let over = vec![(4, vec![44])];
        store
            .write(vec![
                Change::State(Box::new(state)),
                Change::Log(Write::HardState(vec![9])),
                Change::Log(Write::Entries(entries)),
                Change::Log(Write::Entries(over)),
                Change::Log(Write::Snapshot { index: 2, bytes: vec![2], replace_all: false }),
            ])
            .expect("written");
        drop(store);
        let (store, state, persisted) =
            Store::open(&path, "kl", "n1", || PersistentState::first(8)).expect("opens again");
        assert_eq!((state.node, state.incarnation), (7, 3));
        assert_eq!(
            (persisted.hard, persisted.snapshot, persisted.entries),
            (vec![9], vec![2], vec![vec![3], vec![44]])
        );
        let renewed = Change::Replace(Box::new(PersistentState::first(9)), None);
        store.write(vec![renewed]).expect("written");
        drop(store);
        let (_, state, persisted) =
            Store::open(&path, "kl", "n1", || PersistentState::first(8)).expect("opens again");
        assert_eq!(
            (state.node, persisted.hard.len(), persisted.snapshot.len(), persisted.entries.len()),
            (9, 0, 0, 0)
        );
        let _ = std::fs::remove_dir_all(&path);
    }

    #[test]
    fn another_members_directory_is_refused() {
        let path = directory("other");
        let (store, ..) = Store::open(&path, "kl", "n1", || PersistentState::first(7)).expect("opens");
        let twice = Store::open(&path, "kl", "n1", || PersistentState::first(7));
        assert!(matches!(twice, Err(StoreError::Unusable { .. })), "two processes cannot share a directory");
        drop(store);
        let other = Store::open(&path, "kl", "n2", || PersistentState::first(8));
        assert!(matches!(other, Err(StoreError::OtherOwner { .. })));
        let _ = std::fs::remove_dir_all(&path);
    }
}
