//! A machine that is added while the store turns it away, and then fails, beside runners of two software versions.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::net::{read_chunk, send};
use crate::node::{Common, Node};
use crate::record::Record;
use crate::runner::{Runner, Terms};
use crate::store::{Store, Treatment};
use crate::{Case, Outcome};

fn config(version: u32, timeout_ms: u32) -> String {
    CONFIG
        .replace("\"version\":7", &format!("\"version\":{version}"))
        .replace(
            "\"timeout_ms\":6000",
            &format!("\"timeout_ms\":{timeout_ms}"),
        )
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/verdict/","kind":"streaming","timeout_ms":6000,"slo_ms":500,"priority":1,"service":"readers","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":250}],"services":[{"name":"readers","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_tokens":400000,"kv_bytes":18432,"link_mbps":370000.0,"handle_ttl_s":5.0,"switch_s":3.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
/// Longest time for a stream in which a node may have to tell others of it: timeout of the route and two seconds more.
const STREAM_LIFE: Duration = Duration::from_millis(8_000);
const STREAMS: usize = 18;
/// Number of machines, of which the last one is added later in the case of that name.
const MACHINES: u8 = 7;
/// Place of the machine that is added.
const ADDED: usize = 6;

/// What a client has got of a stream, over all of its tries.
#[derive(Debug, Default)]
struct Got {
    last_id: u64,
    versions: BTreeSet<String>,
    /// Events that did not follow the one before.
    is_out_of_order: bool,
    is_complete: bool,
}

fn common() -> Common {
    Common {
        more: "bounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n  \
               drain_ms: 2000\n  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  rollback_slack_ms: 250\n  \
               max_skew_ms: 5000\n  retry_budget_ratio: 0.2\n  budget_window_s: 10\n  budget_slack: 54\n  \
               recovery_s: 12\n  transit_ms: 120\n  retry_after_s: 8.5\n  require_fence: false\n  lease_ms: 3000\n  \
               thaw_slack_ms: 300\n"
            .to_owned(),
    }
}

fn terms(id: &str, version: &'static str) -> Terms {
    Terms {
        id: id.to_owned(),
        service: "readers",
        version,
        is_model: true,
        events: 20,
        pause: Duration::from_millis(150),
    }
}

/// Judges what the clients have got by ORDER (versions): more than two streams.
fn judge(got: &[Got], record: &Record) -> Outcome {
    let complete = got.iter().filter(|got| got.is_complete).count();
    let mixed = got.iter().filter(|got| got.versions.len() > 1).count();
    record.add(&format!(
        "{STREAMS} streams, {complete} complete, {mixed} with events of two versions"
    ));
    if got.iter().all(|got| got.last_id == 0) {
        Outcome::CouldNotRun
    } else if mixed > 2 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

pub fn play(case: &Case) -> Outcome {
    let record = &case.record;
    let common = common();
    let store = Store::open();
    store.put("op/config", CONFIG);
    Runner::start(terms("i-1", "v1"), &store, record);
    let mut nodes: Vec<Node> = (1..=MACHINES)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes[..3].iter().map(|node| node.control).collect();
    let stores: Vec<SocketAddr> = nodes.iter().map(|_| store.listen()).collect();
    for (node, store) in nodes[..ADDED].iter_mut().zip(&stores) {
        node.start(*store, &seeds, &common);
    }
    if !nodes[..ADDED]
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::CouldNotRun;
    }
    // Until then the nodes refuse what they cannot know, as they may have missed streams of before their start.
    sleep(STREAM_LIFE + Duration::from_secs(2));
    record.add("a runner of v2 starts beside that of v1");
    Runner::start(terms("i-2", "v2"), &store, record);
    sleep(Duration::from_secs(3));
    if case.has_trouble {
        record.add("the store turns the last machine away");
        store.set_treatment(stores[ADDED], Treatment::TurnAway);
    }
    nodes[ADDED].start(stores[ADDED], &seeds, &common);
    if !nodes[ADDED].wait_ready(Duration::from_secs(5)) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(2));
    let front = nodes[ADDED].front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, others) = (
                record.clone(),
                nodes[..ADDED].iter().map(|n| n.front).collect::<Vec<_>>(),
            );
            std::thread::spawn(move || client(number, front, &others, DEADLINE, &record))
        })
        .collect();
    sleep(Duration::from_millis(1_200));
    if case.has_trouble {
        nodes[ADDED].crash();
    }
    let got: Vec<Got> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    store.set_treatment(stores[ADDED], Treatment::Serve);
    judge(&got, record)
}

/// All machines lose power at the moment at which the store comes back from an older copy, beside two software versions.
pub fn play_return(case: &Case) -> Outcome {
    let record = &case.record;
    let common = common();
    let store = Store::open();
    store.put("op/config", CONFIG);
    let first = Runner::start(terms("i-1", "v1"), &store, record);
    let mut nodes: Vec<Node> = (1..=3)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|node| node.control).collect();
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
    sleep(STREAM_LIFE + Duration::from_secs(2));
    let copy = store.copy();
    record.add("a copy of the store is taken; a runner of v2 starts beside that of v1");
    let second = Runner::start(terms("i-2", "v2"), &store, record);
    sleep(Duration::from_secs(3));
    let fronts: Vec<SocketAddr> = nodes.iter().map(|node| node.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            std::thread::spawn(move || {
                client(number, fronts[number % 3], &fronts, DEADLINE, &record)
            })
        })
        .collect();
    sleep(Duration::from_millis(1_200));
    if case.has_trouble {
        record.add("the store goes away, and all machines lose power");
        store.go_away();
        for node in &mut nodes {
            node.crash();
        }
        sleep(Duration::from_millis(1_000));
        store.come_back(copy);
        record.add("the store is back from the copy");
        for (node, store) in nodes.iter_mut().zip(&stores) {
            node.start(*store, &seeds, &common);
        }
        store.put("op/config", CONFIG);
        first.register(&store);
        sleep(Duration::from_millis(1_500));
        second.register(&store);
        record.add("the runner of v2 is registered again");
    }
    let got: Vec<Got> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    judge(&got, record)
}

/// The longest timeout is shortened, and runners of one version are replaced by those of another, while streams run that
/// were admitted under the longer one. Then one machine fails.
pub fn play_shorter(case: &Case) -> Outcome {
    let record = &case.record;
    let common = common();
    let store = Store::open();
    store.put("op/config", &config(7, 6_000));
    let long = |id, version| Terms {
        events: 36,
        pause: Duration::from_millis(150),
        ..terms(id, version)
    };
    Runner::start(long("i-1", "v1"), &store, record);
    let mut nodes: Vec<Node> = (1..=MACHINES)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes[..3].iter().map(|node| node.control).collect();
    let address = store.listen();
    for node in &mut nodes {
        node.start(address, &seeds, &common);
    }
    if !nodes
        .iter()
        .all(|node| node.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(13));
    let front = nodes[ADDED].front;
    let others: Vec<SocketAddr> = nodes[..ADDED].iter().map(|node| node.front).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, others) = (record.clone(), others.clone());
            std::thread::spawn(move || client(number, front, &others, LONG_DEADLINE, &record))
        })
        .collect();
    sleep(Duration::from_millis(400));
    record.add("the timeout of the route is 2 s from now on");
    store.put("op/config", &config(8, 2_000));
    sleep(Duration::from_millis(200));
    record.add("a runner of v2 starts");
    Runner::start(long("i-2", "v2"), &store, record);
    sleep(Duration::from_millis(200));
    record.add("the runner of v1 leaves: its entry is removed, and it serves on");
    store.remove("servers/i-1");
    sleep(Duration::from_millis(4_100));
    record.add("a second runner of v2 starts");
    Runner::start(long("i-3", "v2"), &store, record);
    sleep(Duration::from_millis(200));
    if case.has_trouble {
        nodes[ADDED].crash();
    }
    let got: Vec<Got> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    judge(&got, record)
}

/// All machines are stopped and started in turn; then, as a release begins, one of them fails.
pub fn play_rolled(case: &Case) -> Outcome {
    let record = &case.record;
    let common = common();
    let store = Store::open();
    store.put("op/config", &config(7, 6_000));
    Runner::start(terms("i-1", "v1"), &store, record);
    Runner::start(terms("i-2", "v1"), &store, record);
    let mut nodes: Vec<Node> = (1..=MACHINES)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes[..3].iter().map(|node| node.control).collect();
    let address = store.listen();
    let is_ready = |nodes: &[Node]| {
        nodes
            .iter()
            .all(|node| node.wait_ready(Duration::from_secs(10)))
    };
    for node in &mut nodes {
        node.start(address, &seeds, &common);
    }
    if !is_ready(&nodes) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(12));
    let began = Instant::now();
    let mut stopped = 0;
    let mut is_back = [false; MACHINES as usize];
    while !is_back.iter().all(|is_back| *is_back) {
        if stopped < nodes.len() && began.elapsed() >= ROLL_GAP * stopped as u32 {
            nodes[stopped].terminate();
            stopped += 1;
        }
        for (node, is_back) in nodes[..stopped].iter_mut().zip(&mut is_back) {
            if !*is_back && node.has_ended() {
                node.start(address, &seeds, &common);
                *is_back = true;
            }
        }
        if began.elapsed() > Duration::from_secs(30) {
            return Outcome::CouldNotRun;
        }
        sleep(Duration::from_millis(20));
    }
    if !is_ready(&nodes) {
        return Outcome::CouldNotRun;
    }
    sleep(CONTACT + Duration::from_millis(200));
    record.add("all machines are in touch again");
    let front = nodes[ADDED].front;
    let others: Vec<SocketAddr> = nodes[..ADDED].iter().map(|node| node.front).collect();
    let start = |numbers: std::ops::Range<usize>, fronts: Vec<SocketAddr>| -> Vec<_> {
        numbers
            .map(|number| {
                let front = fronts[number % fronts.len()];
                let (record, others) = (record.clone(), others.clone());
                std::thread::spawn(move || client_once(number, front, &others, &record))
            })
            .collect()
    };
    let clients = start(0..STREAMS, vec![front]);
    sleep(Duration::from_millis(250));
    record.add("a release begins: a runner of v2 starts beside those of v1");
    Runner::start(terms("i-3", "v2"), &store, record);
    sleep(Duration::from_millis(300));
    if case.has_trouble {
        nodes[ADDED].crash();
    }
    let new = start(STREAMS..2 * STREAMS, others.clone());
    let join =
        |clients: Vec<std::thread::JoinHandle<(Got, Option<bool>)>>| -> Vec<(Got, Option<bool>)> {
            clients
                .into_iter()
                .filter_map(|client| client.join().ok())
                .collect()
        };
    let (got, new) = (join(clients), join(new));
    let taken_up = got.iter().filter(|(_, goes_on)| goes_on.is_some()).count();
    let go_on = got
        .iter()
        .filter(|(_, goes_on)| *goes_on == Some(true))
        .count();
    let begun = new.iter().filter(|(got, _)| got.last_id > 0).count();
    record.add(&format!(
        "{taken_up} streams, begun at v1, taken up again, {go_on} go on; {begun} of {STREAMS} new streams begin"
    ));
    if got.iter().all(|(got, _)| got.last_id == 0) || begun == 0 {
        return Outcome::CouldNotRun;
    }
    // LOST (versions): of 12 or more, the share that goes on is under half of the share of new streams that begin.
    let share = |count: usize, of: usize| count as f64 / of.max(1) as f64;
    if taken_up >= 12 && share(go_on, taken_up) < 0.5 * share(begun, STREAMS) {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}

/// Time from one planned stop to the next.
const ROLL_GAP: Duration = Duration::from_millis(1_000);
/// `contact_ms` of the bounds.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Reads a stream, and takes it up once if its connection breaks; also returns whether it then went on.
fn client_once(
    number: usize,
    front: SocketAddr,
    others: &[SocketAddr],
    record: &Record,
) -> (Got, Option<bool>) {
    let mut got = Got::default();
    let first_id = format!("q{number:02}-1");
    let head = |id: &str, more: &str| head(number, id, LONG_DEADLINE, more);
    read_stream(front, &first_id, &head(&first_id, ""), &mut got, record);
    if got.is_complete || got.last_id == 0 {
        return (got, None);
    }
    let id = format!("q{number:02}-2");
    let before = got.last_id;
    let more = format!("last-event-id: {before}\r\nresumes: {first_id}\r\n");
    let other = others[number % others.len()];
    read_stream(other, &id, &head(&id, &more), &mut got, record);
    let goes_on = got.last_id > before;
    (got, Some(goes_on))
}

/// Time that a client waits for a stream.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// The same for the long streams of the case of the shorter timeout.
const LONG_DEADLINE: Duration = Duration::from_millis(6_000);

/// Reads a stream, and takes it up at other nodes if its connection breaks, until one goes on or the deadline has passed.
fn client(
    number: usize,
    front: SocketAddr,
    others: &[SocketAddr],
    deadline: Duration,
    record: &Record,
) -> Got {
    let mut got = Got::default();
    let began = Instant::now();
    let first_id = format!("q{number:02}-1");
    let head =
        |id: &str, more: &str| head(number, id, deadline.saturating_sub(began.elapsed()), more);
    read_stream(front, &first_id, &head(&first_id, ""), &mut got, record);
    for attempt in 2.. {
        let left = deadline.saturating_sub(began.elapsed());
        if got.is_complete || got.last_id == 0 || left.is_zero() {
            break;
        }
        let id = format!("q{number:02}-{attempt}");
        let more = format!("last-event-id: {}\r\nresumes: {first_id}\r\n", got.last_id);
        let other = others[(number + attempt) % others.len()];
        if read_stream(other, &id, &head(&id, &more), &mut got, record) {
            break;
        }
        sleep(Duration::from_millis(600));
    }
    got
}

/// Head of a request for a stream, without its last line.
fn head(number: usize, id: &str, deadline: Duration, more: &str) -> String {
    format!(
        "POST /verdict/x HTTP/1.1\r\nhost: a.example\r\ntealsaddle-request-id: {id}\r\n\
         tealsaddle-deadline-ms: {}\r\ntealsaddle-model: m\r\ntealsaddle-token-counts: 60,20\r\n\
         tealsaddle-prompt-prefix: aa:40,{:x}:20\r\n{more}",
        deadline.as_millis(),
        0x100 + number
    )
}

/// Reads an answer; returns whether it has begun.
fn read_stream(front: SocketAddr, id: &str, head: &str, got: &mut Got, record: &Record) -> bool {
    record.add(&format!(
        "client sends {id} to {front}, has events up to {}",
        got.last_id
    ));
    let answer = send(front, head, b"", LONG_DEADLINE);
    let (answer, mut reader) = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record.add(&format!("client of {id} gets no answer: {error}"));
            return false;
        }
    };
    if answer.status() != 200 {
        record.add(&format!("client of {id} gets {}", answer.first));
        return false;
    }
    let ended = read_events(&mut reader, got);
    let end = match ended {
        Ok(()) => "its end".to_owned(),
        Err(error) => format!("a broken connection ({error})"),
    };
    let versions: Vec<&str> = got.versions.iter().map(String::as_str).collect();
    record.add(&format!(
        "client of {id} has events up to {}, of {}, out of order: {}, then {end}",
        got.last_id,
        versions.join(" and "),
        got.is_out_of_order
    ));
    true
}

fn read_events(reader: &mut BufReader<TcpStream>, got: &mut Got) -> std::io::Result<()> {
    let mut text = String::new();
    loop {
        let data = read_chunk(reader)?;
        if data.is_empty() {
            got.is_complete = true;
            return Ok(());
        }
        text.push_str(&String::from_utf8_lossy(&data));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            for line in event.lines() {
                if let Some(id) = line.strip_prefix("id: ") {
                    let id: u64 = id.parse().unwrap_or(0);
                    got.is_out_of_order |= id != got.last_id + 1;
                    got.last_id = id;
                }
                if let Some(data) = line.strip_prefix("data: ") {
                    let version = data.split(' ').next().unwrap_or("");
                    got.versions.insert(version.to_owned());
                }
            }
        }
    }
}
