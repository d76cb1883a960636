//! The store comes back from an older copy at the moment at which several machines fail, just after a usage report.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::net::{read_body, read_head, send, serve, write_answer, Json};
use crate::node::{Common, Node};
use crate::record::Record;
use crate::runner::{Runner, Terms};
use crate::store::{Copy, Store};
use crate::{Case, Outcome};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":2500,"slo_ms":150,"priority":1,"service":"desk","max_attempts":1,"public":false}],"services":[{"name":"desk","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hule930","api_keys":["kn2ftimaj3nr26tta828"]},{"name":"fida11","api_keys":["m82thhkmgjqnirth5mgj"]}]}"#;
const KEYS: [&str; 2] = ["kn2ftimaj3nr26tta828", "m82thhkmgjqnirth5mgj"];
const NODES: u8 = 7;
/// Number of machines that fail: 4 of 7, where the disruption takes a share of 0.6 at most.
const FAILING: usize = 4;
/// Age of the copy from which the store comes back, in front of the report.
const COPY_AGE: Duration = Duration::from_millis(2_000);

/// A report that the platform has accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Report {
    window: u64,
    counts: BTreeMap<String, u64>,
    holder: String,
}

/// The platform's API: it accepts every report.
#[derive(Debug, Clone)]
struct Cloud {
    reports: Arc<Mutex<Vec<Report>>>,
    record: Record,
}

impl Cloud {
    fn listen(record: &Record) -> (Self, SocketAddr) {
        let cloud = Self {
            reports: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = cloud.clone();
        serve(listener, move |stream| {
            let _ = stream.set_nodelay(true);
            let Ok(mut writer) = stream.try_clone() else {
                return;
            };
            let mut reader = BufReader::new(stream);
            while let Ok(Some(mut request)) = read_head(&mut reader) {
                if read_body(&mut reader, &mut request).is_err() {
                    return;
                }
                let holder = request
                    .header("tealsaddle-duty-holder")
                    .unwrap_or("-")
                    .to_owned();
                let fence = request
                    .header("tealsaddle-fence-token")
                    .unwrap_or("-")
                    .to_owned();
                if request.path() == "/usage" {
                    server.on_report(&request.body, holder, &fence);
                }
                if write_answer(&mut writer, 200, "", b"").is_err() {
                    return;
                }
            }
        });
        (cloud, address)
    }

    fn on_report(&self, body: &[u8], holder: String, fence: &str) {
        let body = Json::parse(body).unwrap_or(Json::Null);
        let counts = match body.get("counts") {
            Json::Table(counts) => counts
                .iter()
                .map(|(name, n)| (name.clone(), n.number().unwrap_or(0)))
                .collect(),
            _ => BTreeMap::new(),
        };
        let window = body.get("window_seq").number().unwrap_or(0);
        self.record.add(&format!(
            "platform accepts usage of window {window} from {holder}, token {fence}: {counts:?}"
        ));
        self.reports.lock().unwrap().push(Report {
            window,
            counts,
            holder,
        });
    }

    fn reports(&self) -> Vec<Report> {
        self.reports.lock().unwrap().clone()
    }
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let store = Store::open();
    store.put("op/config", CONFIG);
    let (cloud, cloud_address) = Cloud::listen(record);
    let common = Common {
        more: format!(
            "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
             drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  \
             max_skew_ms: 5000\n  strict_revoke: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.2\n  \
             budget_window_s: 10\n  budget_slack: 54\n  require_fence: false\n  lease_ms: 3000\n  \
             thaw_slack_ms: 300\n  report_window_s: 5\n  usage_off: 0.05\n  usage_late_s: 10\n  recovery_s: 12\n  \
             transit_ms: 120\n  retry_after_s: 8.5\n\
             cloud:\n  addr: \"{cloud_address}\"\n  rate_per_s: 50.0\n  duties:\n    - \"usage_report\"\n  duty_per_s: 50.0\n"
        ),
    };
    let runners: Vec<Runner> = (1..=3)
        .map(|number| {
            let terms = Terms {
                id: format!("i-{number}"),
                service: "desk",
                version: "v1",
                is_model: false,
                events: 0,
                pause: Duration::from_millis(10),
            };
            Runner::start(terms, &store, &Record::none())
        })
        .collect();
    let mut nodes: Vec<Node> = (1..=NODES)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes[..3].iter().map(|node| node.control).collect();
    let stores: Vec<SocketAddr> = nodes.iter().map(|_| store.listen()).collect();
    for (node, store) in nodes.iter_mut().zip(&stores) {
        node.start(*store, &seeds, &common);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::CouldNotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for node in &nodes {
        let (front, is_over) = (node.front, Arc::clone(&is_over));
        std::thread::spawn(move || send_requests(front, &is_over));
    }
    // All windows that are reported from here on have been counted in full.
    sleep(Duration::from_secs(17));
    let Some(fresh) = next_report(&cloud, &store, Duration::from_secs(25)) else {
        return Outcome::CouldNotRun;
    };
    if case.has_trouble {
        let Some(failing) = choose(&nodes, &fresh.report, record) else {
            record.add("more machines know of the record than may fail");
            return Outcome::CouldNotRun;
        };
        record.add("the store goes away");
        store.go_away();
        for place in &failing {
            nodes[*place].crash();
        }
        sleep(Duration::from_millis(1_000));
        store.come_back(fresh.copy);
        store.put("op/config", CONFIG);
        for runner in &runners {
            runner.register(&store);
        }
        record.add(&format!(
            "the store is back from a copy of {} ms before the report",
            fresh.copy_age_ms
        ));
        sleep(Duration::from_millis(500));
        for place in &failing {
            nodes[*place].start(stores[*place], &seeds, &common);
        }
    }
    sleep(Duration::from_secs(32));
    is_over.store(true, Ordering::Relaxed);
    let mut by_window: BTreeMap<u64, Vec<Report>> = BTreeMap::new();
    for report in cloud.reports() {
        let of_window = by_window.entry(report.window).or_default();
        if of_window.iter().all(|other| other.counts != report.counts) {
            of_window.push(report);
        }
    }
    let different = by_window.iter().filter(|(_, reports)| reports.len() > 1);
    let different: Vec<u64> = different.map(|(window, _)| *window).collect();
    record.add(&format!(
        "{} windows reported, with different counts: {different:?}",
        by_window.len()
    ));
    // ONE: the platform accepts two usage reports for one window with different counts.
    if !different.is_empty() {
        Outcome::Broken
    } else if by_window.len() < 4 {
        Outcome::CouldNotRun
    } else {
        Outcome::Held
    }
}

/// A report that has just been accepted, and a copy of the store from before it.
struct Fresh {
    report: Report,
    copy: Copy,
    copy_age_ms: u128,
}

/// Waits for the report of a window that was not reported before, and takes copies of the store meanwhile.
fn next_report(cloud: &Cloud, store: &Store, limit: Duration) -> Option<Fresh> {
    let until = Instant::now() + limit;
    let mut known = cloud.reports().len();
    let mut copies: Vec<(Instant, Copy)> = Vec::new();
    while Instant::now() < until {
        let reports = cloud.reports();
        if let Some(report) = reports.get(known..).and_then(|new| new.first()) {
            // The record of the report is written just before it is sent.
            let Some(oldest) = copies
                .iter()
                .rposition(|(taken, _)| taken.elapsed() >= COPY_AGE)
            else {
                known = reports.len();
                continue;
            };
            let (taken, copy) = copies.swap_remove(oldest);
            let copy_age_ms = taken.elapsed().as_millis();
            return Some(Fresh {
                report: report.clone(),
                copy,
                copy_age_ms,
            });
        }
        if copies
            .last()
            .is_none_or(|(taken, _)| taken.elapsed() >= Duration::from_millis(250))
        {
            copies.push((Instant::now(), store.copy()));
        }
        sleep(Duration::from_millis(5));
    }
    None
}

/// The machines that fail: the one that has sent the report, and those that know that it is recorded.
fn choose(nodes: &[Node], report: &Report, record: &Record) -> Option<Vec<usize>> {
    let holder = nodes.iter().position(|node| node.name == report.holder)?;
    let knows = |node: &Node| {
        let head =
            "POST /usage-counts HTTP/1.1\r\nhost: node\r\ncontent-type: application/json\r\n";
        let question = b"{\"f\":0,\"t\":0,\"r\":0}";
        let (mut answer, mut reader) =
            send(node.control, head, question, Duration::from_secs(1)).ok()?;
        read_body(&mut reader, &mut answer).ok()?;
        Json::parse(&answer.body)?.get("r").number()
    };
    let told = || -> Vec<usize> {
        let others = (0..nodes.len()).filter(|place| *place != holder);
        others
            .filter(|place| knows(&nodes[*place]) >= Some(report.window))
            .collect()
    };
    // A busy machine may take a moment to hear of it.
    let mut told_now = told();
    for _ in 0..10 {
        if told_now.len() + 1 >= FAILING {
            break;
        }
        sleep(Duration::from_millis(20));
        told_now = told();
    }
    let told = told_now;
    let names: Vec<&str> = told
        .iter()
        .map(|place| nodes[*place].name.as_str())
        .collect();
    record.add(&format!(
        "window {} is known as recorded at {} and {names:?}",
        report.window, report.holder
    ));
    let failing: Vec<usize> = [holder].into_iter().chain(told).collect();
    (failing.len() <= FAILING).then_some(failing)
}

/// Sends ten requests a second until told to end.
fn send_requests(front: SocketAddr, is_over: &AtomicBool) {
    let mut number = 0;
    let began = Instant::now();
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let key = KEYS[number % 2];
        let head = format!(
            "POST /book/x HTTP/1.1\r\nhost: a.example\r\ntealsaddle-request-id: {}-{number}\r\n\
             tealsaddle-deadline-ms: 1000\r\nauthorization: Bearer {key}\r\n",
            front.port()
        );
        let _ = send(front, &head, b"slot", Duration::from_secs(1));
        let next = began + Duration::from_millis(100) * number as u32;
        sleep(next.saturating_duration_since(Instant::now()));
    }
}
