//! Real processes: started, killed, stalled and started again, with or without what they had on disk.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use steprelay_faults::mesh::{Member, Mesh, Plan};

use crate::checker::{judge, Findings, Rules};
use crate::history::{History, What};
use crate::peers::{Caller, Door, Doors, Server, PATIENCE_MS};

/// Machines are asked how they are so often.
const LOOK: Duration = Duration::from_millis(40);
/// A machine that does not answer within this says nothing.
const ANSWER: Duration = Duration::from_millis(500);
/// A member is known to be lost after this: asked every 0.6 s, suspect for 2.4 s, and some for a busy
/// machine.
const NOTICED_MS: u64 = 6_000;
/// The latest that a release may come after the end of its call or the loss of its machine, and some.
const RELEASED: Duration = Duration::from_millis(9_000);
/// The machines of all rigs of this process have addresses of their own.
static RIGS: AtomicU32 = AtomicU32::new(0);
/// Rigs at once in this process: more would only wait for each other's processors, and call that a fault.
const AT_ONCE: usize = 4;
static RUNNING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// Given back when a rig has ended.
struct Slot;

impl Slot {
    fn take() -> Self {
        let (running, ended) = &RUNNING;
        let running = running.lock().unwrap_or_else(PoisonError::into_inner);
        let free = ended.wait_while(running, |running| *running >= AT_ONCE);
        *free.unwrap_or_else(PoisonError::into_inner) += 1;
        Slot
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let (running, ended) = &RUNNING;
        *running.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ended.notify_all();
    }
}

/// What a rig is to be.
#[derive(Clone, Debug)]
pub struct Setting {
    /// The program, and a directory that the rig may fill.
    pub program: PathBuf,
    pub directory: PathBuf,
    pub size: usize,
    pub zones: usize,
    pub most_out: usize,
    pub calm_s: f64,
    /// Calls a second by way of each machine; 0: no callers.
    pub rate: f64,
    /// Whether the machines are members of a fleet; without it they are as on the platform.
    pub fleet: bool,
    /// A call that stands ends after this.
    pub holds: Duration,
    /// The table `[copies]` of all machines, where their promises are copied.
    pub copies: Option<String>,
    /// Machines whose program speaks the older version at the start.
    pub old: Vec<usize>,
    pub plan: Plan,
}

struct Machine {
    name: String,
    zone: String,
    address: SocketAddr,
    directory: PathBuf,
    child: Option<Child>,
    ops: Arc<Mutex<Option<SocketAddr>>>,
    stalled: bool,
    old: bool,
}

pub struct Rig {
    setting: Setting,
    pub history: History,
    pub mesh: Mesh,
    machines: Vec<Machine>,
    servers: Vec<Server>,
    doors: Doors,
    callers: Vec<Caller>,
    /// How each machine answered last.
    states: Arc<Mutex<BTreeMap<String, String>>>,
    watches: Arc<AtomicBool>,
    _slot: Slot,
}

impl Rig {
    /// Starts everything, and waits until each machine serves.
    ///
    /// # Panics
    /// Something does not start: a test can't go on.
    pub fn start(setting: Setting) -> Self {
        let slot = Slot::take();
        let history = History::default();
        let number = RIGS.fetch_add(1, Ordering::Relaxed);
        let _ = std::fs::remove_dir_all(&setting.directory);
        std::fs::create_dir_all(&setting.directory).expect("a directory");
        let servers: Vec<Server> = (1..=2)
            .map(|number| Server::start(number, setting.holds, history.clone()).expect("a port"))
            .collect();
        let (high, low) = ((std::process::id() % 200) as u8, (number % 250) as u8);
        let mut machines = Vec::new();
        for place in 0..setting.size {
            let ip = Ipv4Addr::new(127, 10 + high % 100 + (low % 2) * 100, low, place as u8 + 1);
            // Free now, and nobody else uses this address.
            let port = TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a port");
            let name = format!("n{}", place + 1);
            machines.push(Machine {
                directory: setting.directory.join(&name),
                name,
                zone: format!("z{}", place % setting.zones + 1),
                address: port,
                child: None,
                ops: Arc::default(),
                stalled: false,
                old: setting.old.contains(&place),
            });
        }
        let members = machines.iter().map(|m| Member { name: m.name.clone(), address: m.address }).collect();
        let mesh = Mesh::start(setting.plan.clone(), members).expect("fronts");
        let doors = machines.iter().map(|machine| Door::of(&machine.name)).collect();
        let mut rig = Rig {
            setting,
            history,
            mesh,
            machines,
            servers,
            doors: Arc::new(Mutex::new(doors)),
            callers: Vec::new(),
            states: Arc::default(),
            watches: Arc::new(AtomicBool::new(true)),
            _slot: slot,
        };
        (0..rig.machines.len()).for_each(|place| rig.run(place));
        rig.watch();
        rig.until(Duration::from_secs(30), "all serve", |rig| {
            rig.machines.iter().all(|machine| rig.state(&machine.name) == "serving")
        });
        rig
    }

    /// Waits until the council is whole and every member knows of all others.
    pub fn settle(&mut self) {
        let size = self.machines.len();
        let voters = size.min(3);
        self.until(Duration::from_secs(60), "the fleet is whole", |rig| {
            (0..size).all(|place| {
                let Some(members) = rig.members(place) else { return false };
                let alive = members.iter().filter(|row| row["state"] == "alive").count();
                let votes = members.iter().filter(|row| row["voter"] == true).count();
                alive == size && votes == voters && members.iter().any(|row| row["leader"] == true)
            })
        });
    }

    /// Callers begin.
    pub fn call(&mut self) {
        if self.setting.rate <= 0.0 {
            return;
        }
        let every = Duration::from_secs_f64(1.0 / self.setting.rate);
        let calls = Arc::new(AtomicU64::new(1));
        for home in 0..self.machines.len() {
            let (history, doors) = (self.history.clone(), self.doors.clone());
            self.callers.push(Caller::start(history, doors, home, every, calls.clone()));
        }
    }

    /// Callers make no more calls, but stay, until all that stand have ended or can't any more.
    pub fn settle_calls(&mut self) {
        self.callers.iter().for_each(Caller::quiet);
        let until = Instant::now() + self.setting.holds + RELEASED;
        while Instant::now() < until {
            let mut open = BTreeSet::new();
            for event in self.history.events() {
                match event.what {
                    What::Answered { call } => drop(open.insert(call)),
                    What::Ended { call, .. } => drop(open.remove(&call)),
                    _ => {}
                }
            }
            if open.is_empty() {
                return;
            }
            std::thread::sleep(LOOK);
        }
    }

    /// Callers end, and all is judged.
    pub fn finish(&mut self) -> Findings {
        if self.setting.copies.is_some() {
            self.settle_calls();
        }
        self.callers.iter_mut().for_each(Caller::finish);
        let zones = self.machines.iter().map(|machine| (machine.name.clone(), machine.zone.clone()));
        let rules = Rules {
            zones: zones.collect(),
            most_out: self.setting.most_out,
            answer_ms: PATIENCE_MS + 500,
            release_ms: 8_000,
            noticed_ms: NOTICED_MS,
            copied: self.setting.copies.is_some(),
        };
        let _ = self.history.write(&self.setting.directory.join("history.jsonl"));
        let findings = judge(&self.history.events(), &rules);
        println!("set-ups that crossed a close and came again: {}", findings.crossed);
        println!("releases given again after a kill: {}", findings.again.len());
        findings.again.iter().for_each(|again| println!("  {again}"));
        findings
    }

    pub fn name(&self, place: usize) -> &str {
        &self.machines[place].name
    }

    pub fn size(&self) -> usize {
        self.machines.len()
    }

    pub fn place(&self, name: &str) -> usize {
        self.machines.iter().position(|machine| machine.name == name).expect("a machine of the rig")
    }

    /// How a machine answered operators last.
    pub fn state(&self, name: &str) -> String {
        self.states.lock().ok().and_then(|states| states.get(name).cloned()).unwrap_or_default()
    }

    // ---- Machines.

    fn file(&self, place: usize) -> PathBuf {
        self.setting.directory.join(format!("{}.toml", self.machines[place].name))
    }

    /// Starts a machine's process on what its directory holds.
    pub fn run(&mut self, place: usize) {
        let fronts = self.mesh.proxy_addresses();
        let machine = &self.machines[place];
        let seeds: Vec<String> = fronts.iter().take(3).map(|front| format!("\"{front}\"")).collect();
        let founders: Vec<String> =
            self.machines.iter().take(3).map(|machine| format!("\"{}\"", machine.name)).collect();
        let speaks = if machine.old { "speaks = \"1.0\"\n" } else { "" };
        let fleet = format!(
            "{speaks}cluster = \"rig\"\nname = \"{}\"\nzone = \"{}\"\nlisten = \"{}\"\nadvertise = \"{}\"\n\
             seeds = [{}]\nfounders = [{}]\ndirectory = {:?}\n\
             [work]\nmost_out = {}\nreserve = 0\ncalm_s = {}\n",
            machine.name,
            machine.zone,
            machine.address,
            fronts[place],
            seeds.join(", "),
            founders.join(", "),
            machine.directory,
            self.setting.most_out,
            self.setting.calm_s
        );
        let copies = self.setting.copies.as_ref().map(|copies| format!("[copies]\n{copies}\n"));
        std::fs::write(self.file(place), fleet + &copies.unwrap_or_default()).expect("written");
        let config = self.setting.directory.join(format!("{}.json", machine.name));
        std::fs::write(&config, self.configuration(&machine.name).to_string()).expect("written");
        let mut command = Command::new(&self.setting.program);
        command.args(["serve", "--config"]).arg(&config);
        if self.setting.fleet {
            command.arg("--fleet").arg(self.file(place));
        }
        let mut child = command
            .env_remove("LB_OPS")
            .env_remove("LB_SOCKET_FD")
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = child.stderr.take().expect("piped");
        let (name, history) = (machine.name.clone(), self.history.clone());
        let (ops, doors) = (machine.ops.clone(), self.doors.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let line = line.strip_prefix("steprelay: ").unwrap_or(&line).to_string();
                if let Some(address) = line.strip_prefix("serving on ") {
                    if let (Ok(mut doors), Ok(address)) = (doors.lock(), address.parse()) {
                        let doors = doors.iter_mut().filter(|door| door.name == name);
                        doors.for_each(|door| door.address = Some(address));
                    }
                }
                if let Some(address) = line.strip_prefix("answering operators on ") {
                    if let Ok(mut ops) = ops.lock() {
                        *ops = address.parse().ok();
                    }
                }
                history.note(What::Logged { machine: name.clone(), line });
            }
        });
        self.history.note(What::Started { machine: machine.name.clone() });
        self.machines[place].child = Some(child);
    }

    fn configuration(&self, name: &str) -> Value {
        let targets: Vec<Value> = (1u32..)
            .zip(&self.servers)
            .map(|(id, server)| {
                json!({"uid": format!("s-{id:08x}"), "endpoint": server.address, "pod_group": id - 1,
                    "state": "up", "boot_ms": 0})
            })
            .collect();
        let class = json!({"name": "standard-check", "sloMs": 60_000, "hardLimitMs": 9000, "importance": 1.0,
            "idempotency": "idempotent"});
        json!({
            "name": name, "listen": "127.0.0.1:0", "ops": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 1, "notices": [{"rev": 1, "pool": {"rev": 1, "all": true, "targets": targets}}]},
            "settings": {
                "groupSize": self.machines.len(), "services": [class],
                "parties": [{"name": "lembah-realty", "quotaRps": 10000}],
                "policyLimits": {"cancel": true, "mayProbe": true, "dialTimeoutMs": 500, "tryLimit": 5,
                    "retryAfter": true, "maxRetryAfterMs": 2000, "maxOpen": 20000},
                "specifics": {"clearWaitMs": 200, "widths": [1], "allowedPools": [[0, 1, 2, 3]]},
                "rules": {"stopSendingWithinMs": 500},
            },
        })
    }

    /// The process is killed, with all that stands in it.
    pub fn kill(&mut self, place: usize) {
        self.gone(place, What::Killed { machine: self.name(place).into() });
        if let Some(mut child) = self.machines[place].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// A check server's process ends (by its place, from 0), with all calls that stand there.
    pub fn stop_server(&self, place: usize) {
        self.servers[place].stop();
    }

    /// From here on no answer of the process counts, and nobody calls by way of it.
    fn gone(&mut self, place: usize, how: What) {
        let machine = &mut self.machines[place];
        machine.stalled = false;
        let killed = matches!(how, What::Killed { .. });
        if let Ok(mut ops) = machine.ops.lock() {
            *ops = None;
            if let Ok(mut states) = self.states.lock() {
                states.insert(machine.name.clone(), "silent".into());
            }
            self.history.note(how);
        }
        if let Ok(mut doors) = self.doors.lock() {
            doors[place].address = None;
            doors[place].kills += u32::from(killed);
        }
    }

    /// The process is told to end, and waited for. One that a signal ended has not ended by itself.
    pub fn stop(&mut self, place: usize) {
        let machine = self.name(place).to_string();
        self.history.note(What::Terminated { machine: machine.clone() });
        self.signal(place, "TERM");
        let ended = self.machines[place].child.take().and_then(|mut child| child.wait().ok());
        let how = match ended.and_then(|status| status.code()) {
            Some(code) => What::Stopped { machine, code },
            None => What::Killed { machine },
        };
        self.gone(place, how);
    }

    /// The next start is of the newest program.
    pub fn upgrade(&mut self, place: usize) {
        self.machines[place].old = false;
    }

    pub fn lose_disk(&mut self, place: usize) {
        let _ = std::fs::remove_dir_all(&self.machines[place].directory);
    }

    /// Keeps a copy of a directory whose process does not run.
    pub fn copy_disk(&self, place: usize) -> PathBuf {
        let copy = self.machines[place].directory.with_extension("copy");
        copy_files(&self.machines[place].directory, &copy);
        copy
    }

    pub fn restore_disk(&mut self, place: usize, copy: &Path) {
        self.lose_disk(place);
        copy_files(copy, &self.machines[place].directory);
    }

    /// The process gets no processor until it is continued.
    pub fn stall(&mut self, place: usize) {
        self.history.note(What::Stalled { machine: self.machines[place].name.clone() });
        self.signal(place, "STOP");
        self.machines[place].stalled = true;
    }

    pub fn go_on(&mut self, place: usize) {
        self.signal(place, "CONT");
        self.machines[place].stalled = false;
        self.history.note(What::Continued { machine: self.machines[place].name.clone() });
    }

    fn signal(&self, place: usize, name: &str) {
        if let Some(child) = &self.machines[place].child {
            let done = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status();
            assert!(done.is_ok_and(|status| status.success()), "kill -{name}");
        }
    }

    /// What operators say to a machine by its second address: the way without a fleet.
    pub fn operator(&self, place: usize, word: &str) -> Option<String> {
        let ops = self.machines[place].ops.lock().ok().and_then(|ops| *ops)?;
        tell(ops, word)
    }

    pub fn runs(&self, place: usize) -> bool {
        self.machines[place].child.is_some() && !self.machines[place].stalled
    }

    /// Whether it is stopped, and may be continued.
    pub fn stalled(&self, place: usize) -> bool {
        self.machines[place].stalled
    }

    /// Processor time that a machine's process has used, in milliseconds (`/proc`'s ticks are of 10 ms).
    pub fn processor_ms(&self, place: usize) -> u64 {
        let Some(child) = &self.machines[place].child else { return 0 };
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |place: usize| fields.get(place).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
        (ticks(11) + ticks(12)) * 10
    }

    // ---- Staff.

    /// A command of staff at one machine; its exit code and what it printed.
    pub fn staff(&self, place: usize, words: &[&str]) -> (i32, String) {
        let output = Command::new(&self.setting.program)
            .args(["fleet", "--fleet"])
            .arg(self.file(place))
            .args(words)
            .output()
            .expect("it runs");
        let code = output.status.code().unwrap_or(-1);
        self.history.note(What::Staff { words: words.join(" "), code });
        let said = [output.stdout, output.stderr].concat();
        (code, String::from_utf8_lossy(&said).into_owned())
    }

    /// The members as one machine sees them; `None` where it does not answer.
    pub fn members(&self, place: usize) -> Option<Vec<Value>> {
        self.json(place, &["members", "--json"])
    }

    pub fn work(&self, place: usize) -> Option<Vec<Value>> {
        self.json(place, &["work", "list", "--json"])
    }

    fn json(&self, place: usize, words: &[&str]) -> Option<Vec<Value>> {
        if !self.runs(place) {
            return None;
        }
        let (code, text) = self.staff(place, words);
        serde_json::from_str(&text).ok().filter(|_| code == 0)
    }

    /// The state of work on a machine, as another sees it.
    pub fn work_on(&self, name: &str, by: usize) -> String {
        let rows = self.work(by).unwrap_or_default();
        let row = rows.iter().find(|row| row["machine"] == name);
        row.and_then(|row| row["state"].as_str()).unwrap_or("").to_string()
    }

    /// The machine that leads the council, as the running machines see it.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|place| {
            let name = &self.machines[*place].name;
            let rows = self.members(*place).unwrap_or_default();
            rows.iter().any(|row| row["leader"] == true && row["name"] == *name)
        })
    }

    /// Staff say that work is over wherever a machine is out and looks so itself, until nothing is open any
    /// more.
    ///
    /// # Panics
    /// It takes longer than that.
    pub fn roll_on(&mut self, within: Duration) {
        self.roll_with(within, |_, _| {});
    }

    /// The same, with work that is done on each machine of the rig while it is out.
    ///
    /// # Panics
    /// It takes longer than that.
    pub fn roll_with(&mut self, within: Duration, mut work: impl FnMut(&mut Rig, usize)) {
        let until = Instant::now() + within;
        loop {
            assert!(Instant::now() < until, "the roll does not come to its end: {}", self.told());
            let by = (0..self.machines.len()).find(|place| self.runs(*place)).expect("one runs");
            let Some(rows) = self.work(by) else { continue };
            let open: Vec<&Value> =
                rows.iter().filter(|row| row["state"] != "done" && row["state"] != "withdrawn").collect();
            if open.is_empty() {
                return;
            }
            let out = open.iter().filter(|row| matches!(row["state"].as_str(), Some("out" | "overdue")));
            let mut out = out.filter_map(|row| row["machine"].as_str());
            match out.find(|name| !matches!(&*self.state(name), "serving" | "starting")) {
                Some(name) => {
                    if let Some(place) = self.machines.iter().position(|machine| machine.name == name) {
                        work(self, place);
                    }
                    let by = (0..self.machines.len()).find(|place| self.runs(*place)).unwrap_or(by);
                    // Whoever is asked next may not have heard of it yet, and the work is not done twice.
                    while Instant::now() < until && matches!(&*self.work_on(name, by), "out" | "overdue") {
                        drop(self.staff(by, &["work", "done", name]));
                    }
                }
                None => std::thread::sleep(LOOK),
            }
        }
    }

    /// Waits until something holds.
    ///
    /// # Panics
    /// It does not within that time.
    pub fn until(&mut self, within: Duration, what: &str, mut holds: impl FnMut(&Rig) -> bool) {
        let until = Instant::now() + within;
        while !holds(self) {
            assert!(Instant::now() < until, "not in time: {what}\n{}", self.told());
            std::thread::sleep(LOOK);
        }
    }

    /// Watches that something holds for so long.
    ///
    /// # Panics
    /// It does not.
    pub fn always(&mut self, for_: Duration, what: &str, mut holds: impl FnMut(&Rig) -> bool) {
        let until = Instant::now() + for_;
        while Instant::now() < until {
            assert!(holds(self), "{what}\n{}", self.told());
            std::thread::sleep(LOOK);
        }
    }

    /// What the machines' logs told of the fleet, for whoever reads why a test failed.
    pub fn told(&self) -> String {
        let mut text = String::new();
        for event in self.history.events() {
            let line = match event.what {
                What::Logged { machine, line } => format!("{machine}: {line}"),
                What::Staff { words, .. } if words.ends_with("--json") => continue,
                What::Offered { .. }
                | What::OfferedAgain { .. }
                | What::Answered { .. }
                | What::Ended { .. }
                | What::Asked { .. }
                | What::Released { .. } => continue,
                other => format!("{other:?}"),
            };
            text.push_str(&format!("{} {line}\n", event.at));
        }
        text
    }

    /// Enters a phase of the plan.
    ///
    /// # Panics
    /// The plan has none of that name.
    pub fn phase(&self, name: &str) {
        self.history.note(What::Phase { name: name.into() });
        assert!(self.mesh.enter_phase(name), "no phase '{name}'");
    }

    /// Asks all machines again and again how they are, and notes what changes.
    fn watch(&self) {
        for machine in &self.machines {
            let (name, ops) = (machine.name.clone(), machine.ops.clone());
            let (history, states, watches) =
                (self.history.clone(), self.states.clone(), self.watches.clone());
            std::thread::spawn(move || {
                while watches.load(Ordering::Relaxed) {
                    let address = ops.lock().ok().and_then(|ops| *ops);
                    let state = address.and_then(ask).unwrap_or_else(|| "silent".into());
                    // An answer of a process that was killed meanwhile is nobody's.
                    if let (Ok(now), Ok(mut states)) = (ops.lock(), states.lock()) {
                        if *now == address
                            && states.insert(name.clone(), state.clone()).as_ref() != Some(&state)
                        {
                            history.note(What::Seen { machine: name.clone(), state });
                        }
                    }
                    std::thread::sleep(LOOK);
                }
            });
        }
    }
}

/// What a machine answers to `status`.
fn ask(ops: SocketAddr) -> Option<String> {
    tell(ops, "status")
}

/// The last word of the answer to a command.
fn tell(ops: SocketAddr, word: &str) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&ops, ANSWER).ok()?;
    stream.set_read_timeout(Some(ANSWER)).ok()?;
    stream.write_all(format!("{word}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_whitespace().last().map(str::to_string)
}

fn copy_files(from: &Path, to: &Path) {
    let _ = std::fs::create_dir_all(to);
    for file in std::fs::read_dir(from).expect("a directory").flatten() {
        if file.file_type().is_ok_and(|kind| kind.is_file()) {
            std::fs::copy(file.path(), to.join(file.file_name())).expect("copied");
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.watches.store(false, Ordering::Relaxed);
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        // Else they would call on at whoever has these addresses next.
        self.callers.iter_mut().for_each(Caller::finish);
        // A test that fails leaves its files and its history.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.setting.directory);
        }
    }
}
