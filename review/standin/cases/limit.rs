//! Nodes are stopped and started in turn while runners limit the requests of all nodes together.

use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::config;
use crate::fleet::{Node, Nodes};
use crate::http;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

const NODES: usize = 7;
const RUNNERS: usize = 8;
/// `Server-Limit` of each runner, in requests a second.
const LIMIT: u32 = 10;
const WINDOW: Duration = Duration::from_secs(4);
/// `bounds.contact_ms` in the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Time from one stop to the next.
const GAP: Duration = Duration::from_secs(10);
/// Pause between two requests to a node.
const PAUSE: Duration = Duration::from_millis(18);

/// What the clients know: through which node a request went, when it was answered with a limit.
#[derive(Default)]
struct Clients {
    node_of: HashMap<String, usize>,
    /// When each node first passed on an answer of a runner with its limit, by node and runner.
    passed: HashMap<(usize, String), Instant>,
    answers: HashMap<u16, usize>,
}

pub fn run(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::open(directory)?;
    let store = Store::bind(&record)?;
    store.put("op/config", &config(7));
    let work = Duration::from_millis(20);
    let start = |number: usize| {
        Runner::start(
            &format!("l-{number}"),
            "ladder",
            None,
            work,
            &store,
            &record,
        )
    };
    let runners = (1..=RUNNERS).map(start).collect::<Result<Vec<_>, _>>()?;
    for number in 1..=2 {
        Runner::start(
            &format!("a-{number}"),
            "archive",
            None,
            Duration::from_millis(4_800),
            &store,
            &record,
        )?;
    }
    let nodes = Nodes::start(NODES, &store, &record)?;
    nodes.wait_ready(Duration::from_secs(15))?;
    // Longer than a node that has just registered leaves the counting to others.
    std::thread::sleep(Duration::from_secs(18));
    for runner in &runners {
        runner.set_limit(Some(LIMIT));
    }
    record.add(&format!(
        "each of {RUNNERS} runners names the limit {LIMIT} from now on"
    ));
    let clients = Arc::new(Mutex::new(Clients::default()));
    let is_over = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (number, node) in nodes.nodes.iter().enumerate() {
        threads.push(press(number, node, &clients, &is_over));
        threads.push(linger(number, node, &is_over));
    }
    // Stops of nodes: from the signal until the node may know again what the runners ask for.
    let mut stops: Vec<(usize, Instant, Instant)> = Vec::new();
    std::thread::sleep(Duration::from_secs(6));
    for (number, node) in nodes.nodes.iter().enumerate() {
        let began = Instant::now();
        if has_trouble {
            node.stop();
            node.start()?;
            let _ = crate::cases::wait_for("ready", Duration::from_secs(8), || {
                node.is_ready().then_some(())
            });
            stops.push((number, began, Instant::now() + CONTACT));
        }
        std::thread::sleep(GAP.saturating_sub(began.elapsed()));
    }
    std::thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let clients = clients.lock().unwrap();
    record.add(&format!(
        "answers of the nodes by status: {:?}",
        clients.answers
    ));
    let mut is_broken = false;
    for runner in &runners {
        is_broken |= judge(runner, &clients, &stops, &record);
    }
    record.add(if is_broken {
        "LIMIT is broken"
    } else {
        "LIMIT held"
    });
    Ok(is_broken)
}

/// Sends requests to a node, one each [`PAUSE`], until the case is over.
fn press(
    number: usize,
    node: &Arc<Node>,
    clients: &Arc<Mutex<Clients>>,
    is_over: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let (node, clients, is_over) = (Arc::clone(node), Arc::clone(clients), Arc::clone(is_over));
    std::thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(PAUSE);
            let id = format!("r{:08x}", COUNT.fetch_add(1, Ordering::Relaxed));
            clients.lock().unwrap().node_of.insert(id.clone(), number);
            let (node, clients) = (Arc::clone(&node), Arc::clone(&clients));
            std::thread::spawn(move || {
                let request = format!(
                    "GET /page/{id} HTTP/1.1\r\nHost: league.example\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Deadline-Ms: 2500\r\n\
                     Connection: close\r\n\r\n"
                );
                let answer = http::call(node.front, &request, Duration::from_secs(3));
                let mut clients = clients.lock().unwrap();
                *clients
                    .answers
                    .entry(answer.as_ref().map_or(0, http::Message::status))
                    .or_default() += 1;
                let Some(answer) = answer.filter(|answer| answer.header("server-limit").is_some())
                else {
                    return;
                };
                let text = answer.text();
                let runner = text.split(' ').nth(2).unwrap_or("").to_owned();
                clients
                    .passed
                    .entry((number, runner))
                    .or_insert_with(Instant::now);
            });
        }
    })
}

/// Keeps a node busy with requests that take seconds, two a second.
fn linger(
    number: usize,
    node: &Arc<Node>,
    is_over: &Arc<AtomicBool>,
) -> std::thread::JoinHandle<()> {
    let (node, is_over) = (Arc::clone(node), Arc::clone(is_over));
    std::thread::spawn(move || {
        let mut count = 0;
        while !is_over.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(500));
            count += 1;
            let node = Arc::clone(&node);
            std::thread::spawn(move || {
                let request = format!(
                    "POST /slow/x HTTP/1.1\r\nHost: league.example\r\nTealsaddle-Request-Id: slow-{number}-{count}\r\nTealsaddle-Deadline-Ms: 7000\r\n\
                     Content-Length: 0\r\nConnection: close\r\n\r\n"
                );
                http::call(node.front, &request, Duration::from_secs(8))
            });
        }
    })
}

/// Counts the requests to a runner in all spans of four seconds, without those through nodes that were stopped around them.
fn judge(
    runner: &Runner,
    clients: &Clients,
    stops: &[(usize, Instant, Instant)],
    record: &Record,
) -> bool {
    let Some(first) = runner.first_limited() else {
        record.add(&format!("runner {} never named its limit", runner.id));
        return false;
    };
    let allowed = f64::from(LIMIT) * 1.5 * WINDOW.as_secs_f64() + 5.0;
    let arrivals: Vec<(Instant, usize)> = runner
        .arrivals()
        .into_iter()
        .filter_map(|arrival| {
            let node = *clients.node_of.get(&arrival.id)?;
            let passed = clients.passed.get(&(node, runner.id.clone()))?;
            let binds =
                arrival.at >= *passed + Duration::from_millis(500) && arrival.at >= first + CONTACT;
            binds.then_some((arrival.at, node))
        })
        .collect();
    let mut worst: (usize, Option<Instant>, Vec<usize>) = (0, None, Vec::new());
    for (begin, _) in &arrivals {
        let end = *begin + WINDOW;
        // A restart excuses its node in each span that it touches.
        let is_excused = |node: usize| {
            stops
                .iter()
                .any(|(stopped, from, until)| *stopped == node && *from < end && *until > *begin)
        };
        let counted = arrivals
            .iter()
            .filter(|(at, node)| at >= begin && *at < end && !is_excused(*node));
        let nodes: Vec<usize> = counted.map(|(_, node)| *node).collect();
        if nodes.len() > worst.0 {
            worst = (nodes.len(), Some(*begin), nodes);
        }
    }
    let (count, begin, nodes) = worst;
    let mut by_node = [0; NODES];
    for node in nodes {
        by_node[node] += 1;
    }
    let is_broken = count as f64 > allowed;
    record.add(&format!(
        "runner {}: {} requests, at most {count} in 4 s (from {:.1} s, by node {by_node:?}), allowed {allowed}{}",
        runner.id,
        arrivals.len(),
        begin.map_or(0.0, |begin| record.since(begin).as_secs_f64()),
        if is_broken { ": BROKEN" } else { "" }
    ));
    is_broken
}
