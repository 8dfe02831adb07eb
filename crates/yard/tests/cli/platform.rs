//! A platform and entries inside the test, and the program under test.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, mpsc};

use base::{TimeSpan, VmRecord, VmRole, VmState};
use fakes::{FakeHost, LogFake, LogSettings, VmFake, VmSettings, VmTable};
use hyper::{Method, StatusCode};
use serde_json::json;
use web::{WebRequest, WebResponse, fetch, json_reply};

const LIMIT: TimeSpan = TimeSpan::seconds(5);
const RECORDS: &str = "/streams/config/records";
pub const TOKEN: &str = "operator";

/// What happens before the first append of the program is taken.
#[derive(Clone, Default)]
pub enum FirstAppend {
    /// Nothing.
    #[default]
    Plain,
    /// Another operator's record is appended.
    Rival(String),
    /// Every append is answered by 503, and has no effect.
    Refused,
}

pub struct TestPlatform {
    pub log: SocketAddr,
    pub vms: SocketAddr,
    /// The offset that all entries say they have in force.
    pub in_force: Arc<AtomicU64>,
}

struct Addresses {
    log: SocketAddr,
    vms: SocketAddr,
}

impl TestPlatform {
    /// Starts everything on a thread of its own, which ends with the test's process.
    pub fn start(entries: usize, first: FirstAppend) -> Self {
        let in_force = Arc::new(AtomicU64::new(u64::MAX));
        let (sender, addresses) = mpsc::channel();
        let answer = Arc::clone(&in_force);
        std::thread::spawn(move || {
            kernel::run(async move {
                let started = host_all(entries, first, answer).await;
                sender.send(started.0).unwrap();
                std::future::pending::<()>().await;
                drop(started.1);
            })
        });
        let Addresses { log, vms } = addresses.recv().unwrap();
        Self { log, vms, in_force }
    }

    /// Runs `yard publish` for a folder, as `author`.
    pub fn publish(&self, folder: &Path, author: &str, more: &[&str]) -> Run {
        let (log, vms) = (self.log.to_string(), self.vms.to_string());
        let folder = folder.display().to_string();
        let fixed = ["publish", &folder, "--log", &log, "--vms", &vms, "--author", author];
        run(&[&fixed[..], more].concat(), &[])
    }
}

/// Switches a fault of a stand-in.
pub fn set_fault(peer: SocketAddr, fault: &'static str) {
    let call = fetch("set fault", Method::POST, peer, "/fault", fault.into(), LIMIT);
    kernel::run(call).unwrap().unwrap();
}

async fn host_all(
    entries: usize,
    first: FirstAppend,
    in_force: Arc<AtomicU64>,
) -> (Addresses, Vec<FakeHost>) {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let log = LogFake::new(LogSettings::default());
    let direct_log = log.clone();
    let direct =
        FakeHost::start(any, move |request| direct_log.clone().handle(request)).await.unwrap();
    let (first, rival) = (Rc::new(RefCell::new(first)), direct.address());
    let handler = move |request| append_first(log.clone(), Rc::clone(&first), rival, request);
    let log = FakeHost::start(any, handler).await.unwrap();
    let mut hosts = Vec::new();
    let mut table = VmTable::default();
    for number in 1..=entries {
        let in_force = Arc::clone(&in_force);
        let handler = move |request: WebRequest| {
            std::future::ready(answer_entry(number, &in_force, &request))
        };
        let host = FakeHost::start(any, handler).await.unwrap();
        table.vms.push(VmRecord {
            vm: format!("vm-{number}").parse().unwrap(),
            place: "caerdydd".parse().unwrap(),
            role: VmRole::Entry,
            service: None,
            address: host.address(),
            steward: None,
            state: VmState::Live,
        });
        hosts.push(host);
    }
    let vms = VmFake::new(VmSettings { lag: TimeSpan(0), table });
    let vms = FakeHost::start(any, move |request| vms.clone().handle(request)).await.unwrap();
    let addresses = Addresses { log: log.address(), vms: vms.address() };
    hosts.extend([direct, log, vms]);
    (addresses, hosts)
}

async fn append_first(
    log: LogFake,
    first: Rc<RefCell<FirstAppend>>,
    direct: SocketAddr,
    request: WebRequest,
) -> WebResponse {
    if request.method() == Method::POST && request.uri().path() == RECORDS {
        let act = first.borrow().clone();
        match act {
            FirstAppend::Plain => (),
            FirstAppend::Rival(text) => {
                *first.borrow_mut() = FirstAppend::Plain;
                fetch("rival", Method::POST, direct, RECORDS, text.into(), LIMIT).await.unwrap();
            }
            FirstAppend::Refused => return json_reply(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
        }
    }
    log.handle(request).await
}

fn answer_entry(number: usize, in_force: &AtomicU64, request: &WebRequest) -> WebResponse {
    let token = format!("Bearer {TOKEN}");
    match request.uri().path() {
        "/v1/status" => json_reply(
            StatusCode::OK,
            &json!({
                "vm": format!("vm-{number}"),
                "config_offset": in_force.load(Ordering::Relaxed),
                "leaving": false,
                "view_age_ms": 12,
                "entries": 2,
                "runners": 12,
                "runners_leaving": number - 1,
                "calls": 3,
            }),
        ),
        "/v1/dump" if request.headers().get("authorization").is_some_and(|it| it == &*token) => {
            json_reply(StatusCode::OK, &json!({ "router": { "waiting": 0 } }))
        }
        "/v1/dump" => json_reply(StatusCode::UNAUTHORIZED, &json!({ "error": "unauthorized" })),
        _ => json_reply(StatusCode::NOT_FOUND, &json!({})),
    }
}

/// A finished run of the program.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Run {
    /// Everything that was written, without what differs from run to run.
    pub fn show(&self) -> String {
        let text = format!("exit {}\n--- out\n{}--- err\n{}", self.code, self.out, self.err);
        text.split_inclusive(char::is_whitespace).map(plain_word).collect()
    }
}

/// Addresses, record numbers and short ages become fixed words.
fn plain_word(word: &str) -> String {
    let core = word.trim_end().trim_end_matches([':', ')', ';', ',']).trim_start_matches('(');
    let is_id = core.len() == 16 && core.bytes().all(|byte| byte.is_ascii_hexdigit());
    if core.parse::<SocketAddr>().is_ok() {
        word.replace(core, "ADDRESS")
    } else if is_id {
        word.replace(core, "ID")
    } else {
        word.to_owned()
    }
}

pub fn run(arguments: &[&str], environment: &[(&str, &str)]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yard"));
    command.args(arguments).envs(environment.iter().copied());
    let Output { status, stdout, stderr } = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    Run { code: status.code().unwrap(), out: text(stdout), err: text(stderr) }
}

/// A copy of a sample folder that the test may change.
pub fn sample(user: &str, test: &str) -> PathBuf {
    let from = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples").join(user);
    let to = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test).join(user);
    let _ = std::fs::remove_dir_all(&to);
    std::fs::create_dir_all(&to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let path = entry.unwrap().path();
        std::fs::copy(&path, to.join(path.file_name().unwrap())).unwrap();
    }
    to
}
