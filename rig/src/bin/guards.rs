//! Takes guards out of a copy of the source, one at a time, and has the tests run: each has to make one fail.
//! `guards LIST [NAME]` reads a TOML list; see `fleet/guards.toml`.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};

use serde::Deserialize;

#[derive(Debug, thiserror::Error)]
enum GuardError {
    #[error("{}: {error}", path.display())]
    Io { path: PathBuf, error: std::io::Error },
    #[error("{0}")]
    NotToml(#[from] Box<toml::de::Error>),
    #[error("{name}: its text stands {times} times in {}", file.display())]
    NotOnce { name: String, file: PathBuf, times: usize },
    #[error("{name}: without it nothing can be built\n{said}")]
    NotBuilt { name: String, said: String },
    #[error("the tests fail with all guards in\n{0}")]
    FailsAnyway(String),
    #[error("wrong use: guards LIST [NAME]")]
    Usage,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct List {
    /// What `cargo test` is told, but for guards that name another test.
    test: Vec<String>,
    guard: Vec<Guard>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Guard {
    name: String,
    file: PathBuf,
    /// Text that stands there once, and what comes in its place.
    from: String,
    to: String,
    test: Option<Vec<String>>,
}

fn io(path: &Path) -> impl Fn(std::io::Error) -> GuardError + '_ {
    |error| GuardError::Io { path: path.into(), error }
}

/// Copies the sources, but nothing that was built and no history.
fn copy(from: &Path, to: &Path) -> Result<(), GuardError> {
    std::fs::create_dir_all(to).map_err(io(to))?;
    for entry in std::fs::read_dir(from).map_err(io(from))? {
        let entry = entry.map_err(io(from))?;
        let (name, path) = (entry.file_name(), entry.path());
        if ["target", ".git", "journal"].iter().any(|left| name == *left) {
            continue;
        }
        let beside = to.join(name);
        match path.is_dir() {
            true => copy(&path, &beside)?,
            false => drop(std::fs::copy(&path, &beside).map_err(io(&path))?),
        }
    }
    Ok(())
}

/// Whether the tests pass; what they said.
fn passes(tree: &Path, test: &[String]) -> Result<(bool, String), GuardError> {
    let mut command = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    command.args(["test", "--locked"]).args(test).current_dir(tree);
    // The same cases every time, and none kept from the guard before.
    command.env("CARGO_TARGET_DIR", tree.with_extension("target")).env("RUST_BACKTRACE", "0");
    command.env("PROPTEST_RNG_SEED", "1").env("PROPTEST_DISABLE_FAILURE_PERSISTENCE", "true");
    let output = command.output().map_err(io(tree))?;
    let said = [output.stdout, output.stderr].concat();
    Ok((output.status.success(), String::from_utf8_lossy(&said).into_owned()))
}

/// The guards that no test misses.
fn run() -> Result<Vec<String>, GuardError> {
    let mut args = std::env::args().skip(1);
    let path = PathBuf::from(args.next().ok_or(GuardError::Usage)?);
    let only = args.next();
    let text = std::fs::read_to_string(&path).map_err(io(&path))?;
    let list: List = toml::from_str(&text).map_err(Box::new)?;
    let here = std::env::current_dir().map_err(io(Path::new(".")))?;
    let tree = here.join("target").join("guards");
    let _ = std::fs::remove_dir_all(&tree);
    copy(&here, &tree)?;
    let guards: Vec<&Guard> =
        list.guard.iter().filter(|guard| only.as_ref().is_none_or(|only| *only == guard.name)).collect();
    let test = |guard: &Guard| guard.test.clone().unwrap_or_else(|| list.test.clone());
    for test in guards.iter().map(|guard| test(guard)).collect::<BTreeSet<_>>() {
        let (well, said) = passes(&tree, &test)?;
        if !well {
            return Err(GuardError::FailsAnyway(said));
        }
    }
    let mut unmissed = Vec::new();
    for guard in guards {
        let file = tree.join(&guard.file);
        let whole = std::fs::read_to_string(&file).map_err(io(&file))?;
        let times = whole.matches(&guard.from).count();
        if times != 1 {
            return Err(GuardError::NotOnce { name: guard.name.clone(), file: guard.file.clone(), times });
        }
        std::fs::write(&file, whole.replace(&guard.from, &guard.to)).map_err(io(&file))?;
        let (passed, said) = passes(&tree, &test(guard))?;
        std::fs::write(&file, whole).map_err(io(&file))?;
        let failed: Vec<&str> =
            said.lines().filter_map(|line| line.strip_prefix("test ")?.strip_suffix(" ... FAILED")).collect();
        if passed {
            println!("{}: MISSED BY NO TEST", guard.name);
            unmissed.push(guard.name.clone());
        } else if failed.is_empty() {
            return Err(GuardError::NotBuilt { name: guard.name.clone(), said });
        } else {
            println!("{}: {}", guard.name, failed.join(", "));
        }
    }
    Ok(unmissed)
}

fn main() -> ExitCode {
    match run() {
        Ok(unmissed) if unmissed.is_empty() => ExitCode::SUCCESS,
        Ok(unmissed) => {
            eprintln!("guards that no test misses: {}", unmissed.join(", "));
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("guards: {error}");
            ExitCode::from(2)
        }
    }
}
