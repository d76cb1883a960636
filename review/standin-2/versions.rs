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

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/verdict/","kind":"streaming","timeout_ms":6000,"slo_ms":500,"priority":1,"service":"readers","max_attempts":2,"sticky":true,"resumable":true,"gap_target_ms":400}],"services":[{"name":"readers","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":16,"kv_tokens":400000,"kv_bytes":18432,"link_mbps":370000.0,"handle_ttl_s":5.0,"switch_s":3.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
/// Longest time for a stream in which a node may have to tell others of it: timeout of the route and two seconds more.
const STREAM_LIFE: Duration = Duration::from_millis(8_000);
const STREAMS: usize = 18;

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
    let mut nodes: Vec<Node> = (1..=4)
        .map(|n| Node::new(n, &case.folder, record))
        .collect();
    let seeds: Vec<SocketAddr> = nodes[..3].iter().map(|node| node.control).collect();
    let stores: Vec<SocketAddr> = nodes.iter().map(|_| store.listen()).collect();
    for (node, store) in nodes[..3].iter_mut().zip(&stores) {
        node.start(*store, &seeds, &common);
    }
    if !nodes[..3]
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
        record.add("the store turns the fourth machine away");
        store.set_treatment(stores[3], Treatment::TurnAway);
    }
    nodes[3].start(stores[3], &seeds, &common);
    if !nodes[3].wait_ready(Duration::from_secs(5)) {
        return Outcome::CouldNotRun;
    }
    sleep(Duration::from_secs(2));
    let front = nodes[3].front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, others) = (
                record.clone(),
                nodes[..3].iter().map(|n| n.front).collect::<Vec<_>>(),
            );
            std::thread::spawn(move || client(number, front, &others, &record))
        })
        .collect();
    sleep(Duration::from_millis(1_200));
    if case.has_trouble {
        nodes[3].crash();
    }
    let got: Vec<Got> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    store.set_treatment(stores[3], Treatment::Serve);
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
            std::thread::spawn(move || client(number, fronts[number % 3], &fronts, &record))
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

/// Time that a client waits for a stream.
const DEADLINE: Duration = Duration::from_millis(6_000);

/// Reads a stream, and takes it up at other nodes if its connection breaks, until one goes on or the deadline has passed.
fn client(number: usize, front: SocketAddr, others: &[SocketAddr], record: &Record) -> Got {
    let mut got = Got::default();
    let first_id = format!("q{number:02}-1");
    let prompt = format!(
        "tealsaddle-model: m\r\ntealsaddle-token-counts: 60,20\r\ntealsaddle-prompt-prefix: aa:40,{:x}:20\r\n",
        0x100 + number
    );
    let head = |id: &str, more: &str| {
        format!(
            "POST /verdict/x HTTP/1.1\r\nhost: a.example\r\ntealsaddle-request-id: {id}\r\n\
             tealsaddle-deadline-ms: 6000\r\n{prompt}{more}"
        )
    };
    let began = Instant::now();
    read_stream(front, &first_id, &head(&first_id, ""), &mut got, record);
    for attempt in 2.. {
        let left = DEADLINE.saturating_sub(began.elapsed());
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

/// Reads an answer; returns whether it has begun.
fn read_stream(front: SocketAddr, id: &str, head: &str, got: &mut Got, record: &Record) -> bool {
    record.add(&format!(
        "client sends {id} to {front}, has events up to {}",
        got.last_id
    ));
    let answer = send(front, head, b"", Duration::from_secs(6));
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
