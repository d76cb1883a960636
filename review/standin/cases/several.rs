//! Several requests that crash each runner that begins to run them come again and again, at any node.

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
const BACK_AFTER: Duration = Duration::from_secs(3);
const REQUESTS: usize = 10;
const RUNNERS: usize = 16;
const NODES: usize = 7;
const ZONES: usize = 3;
const LENGTH: Duration = Duration::from_secs(60);
/// Time from one of the requests to the next; each comes again after all the others.
const PAUSE: Duration = Duration::from_millis(400);
/// Retries that the rule allows.
const MOST: usize = 3;

pub fn run(directory: &Path, has_trouble: bool) -> Result<bool, String> {
    let record = Record::open(directory)?;
    let store = Store::bind(&record)?;
    store.put("op/config", &config(7));
    let start = |number: usize| {
        let (zone, id) = (format!("hall-{}", 1 + number % ZONES), format!("l-{number:02}"));
        Runner::start_in(&zone, &id, "ladder", None, Duration::from_millis(20), &store, &record)
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
    let mut sent: Vec<(usize, String, Instant)> = Vec::new();
    let (mut served, mut sound) = (0, 0);
    for number in 0.. {
        if began.elapsed() > LENGTH {
            break;
        }
        let node = &nodes.nodes[number % nodes.nodes.len()];
        let call = |path: &str, id: &str| {
            let request = format!(
                "GET /once/{path} HTTP/1.1\r\nHost: league.example\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Deadline-Ms: 2500\r\n\
                 Connection: close\r\n\r\n"
            );
            http::call(node.front, &request, Duration::from_secs(3)).map_or(0, |answer| answer.status())
        };
        let which = number % REQUESTS;
        let id = format!("d{number:06x}");
        sent.push((which, id.clone(), Instant::now()));
        let status = call(&format!("{which}/deadly"), &id);
        record.add(&format!("client: request {which} ({id}) by {} is answered {status}", node.name));
        std::thread::sleep(PAUSE / 2);
        sound += 1;
        served += usize::from(call(&format!("sound-{number}"), &format!("s{number:06x}")) == 200);
        std::thread::sleep(PAUSE / 2);
    }
    record.add(&format!("{served} of {sound} sound requests were served"));
    let arrivals: Vec<_> = runners.iter().flat_map(Runner::arrivals).collect();
    let mut is_broken = false;
    for which in 0..REQUESTS {
        let ids: Vec<_> = sent.iter().filter(|(request, ..)| *request == which).collect();
        let mut runs: Vec<Instant> = arrivals.iter().filter(|a| ids.iter().any(|(_, id, _)| *id == a.id)).map(|a| a.at).collect();
        runs.sort();
        let Some(third) = runs.get(2).filter(|_| has_trouble) else {
            record.add(&format!("request {which} crashed fewer than three runners"));
            continue;
        };
        let late = ids.iter().filter(|(_, id, at)| *at > *third + CONTACT && arrivals.iter().any(|a| a.id == *id)).count();
        let breaks = late > MOST;
        is_broken |= breaks;
        record.add(&format!(
            "request {which}: {} runs, {late} retries reached runners that were sent later than {CONTACT:?} after the third crash, allowed {MOST}{}",
            runs.len(), if breaks { ": BROKEN" } else { "" }
        ));
    }
    record.add(if is_broken { "BUDGET is broken" } else { "BUDGET held" });
    Ok(is_broken)
}
