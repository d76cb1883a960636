//! A request that crashes each runner that begins to run it comes again and again, at any node.

use std::path::Path;
use std::time::{Duration, Instant};

use super::config;
use crate::fleet::Nodes;
use crate::http;
use crate::record::Record;
use crate::runner::Runner;
use crate::store::Store;

/// `bounds.contact_ms` in the settings.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which a runner that has crashed is back: some seconds.
const BACK_AFTER: Duration = Duration::from_millis(2_400);
const RUNNERS: usize = 3;
const LENGTH: Duration = Duration::from_secs(40);
const PAUSE: Duration = Duration::from_millis(300);
const MOST: usize = 3;
const ZONES: usize = 3;
const NODES: usize = 7;

pub fn run(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::open(directory)?;
    let store = Store::bind(&record)?;
    store.put("op/config", &config(7));
    let start = |number: usize| {
        let (zone, id) = (format!("hall-{number}"), format!("l-{number}"));
        Runner::start_in(
            &zone,
            &id,
            "ladder",
            None,
            Duration::from_millis(20),
            &store,
            &record,
        )
    };
    let runners = (1..=RUNNERS).map(start).collect::<Result<Vec<_>, _>>()?;
    let nodes = Nodes::start_in(ZONES, NODES, &store, &record)?;
    nodes.wait_ready(Duration::from_secs(15))?;
    std::thread::sleep(Duration::from_secs(10));
    if has_trouble {
        for runner in &runners {
            runner.set_deadly("/deadly", BACK_AFTER);
        }
    }
    let began = Instant::now();
    let mut sent: Vec<(String, Instant)> = Vec::new();
    let (mut served, mut sound) = (0, 0);
    for number in 0.. {
        if began.elapsed() > LENGTH {
            break;
        }
        let node = &nodes.nodes[number % nodes.nodes.len()];
        let call = |path: &str, id: &str| {
            let request = format!(
                "GET /page/{path} HTTP/1.1\r\nHost: league.example\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Deadline-Ms: 2500\r\n\
                 Connection: close\r\n\r\n"
            );
            http::call(node.front, &request, Duration::from_secs(3))
                .map_or(0, |answer| answer.status())
        };
        let id = format!("d{number:06x}");
        sent.push((id.clone(), Instant::now()));
        let status = call("deadly", &id);
        record.add(&format!(
            "client: {id} by {} is answered {status}",
            node.name
        ));
        std::thread::sleep(PAUSE / 2);
        sound += 1;
        served += usize::from(call(&format!("sound-{number}"), &format!("s{number:06x}")) == 200);
        std::thread::sleep(PAUSE / 2);
    }
    record.add(&format!("{served} of {sound} sound requests were served"));
    let mut crashes: Vec<Instant> = runners.iter().flat_map(Runner::crashes).collect();
    crashes.sort();
    record.add(&format!("{} crashes", crashes.len()));
    let Some(third) = crashes.get(2) else {
        record.add("fewer than three crashes: BUDGET held");
        return Ok(false);
    };
    let arrived: Vec<String> = runners
        .iter()
        .flat_map(Runner::arrivals)
        .map(|arrival| arrival.id)
        .collect();
    let late = sent
        .iter()
        .filter(|(id, at)| *at > *third + CONTACT && arrived.contains(id))
        .count();
    let is_broken = late > MOST;
    record.add(&format!(
        "{late} retries reached runners that were sent later than {CONTACT:?} after the third crash, allowed {MOST}: BUDGET {}",
        if is_broken { "is broken" } else { "held" }
    ));
    Ok(is_broken)
}
