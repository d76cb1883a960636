//! Two runners of a service crash one after the other while they send answers without a length.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::config;
use crate::fleet::Nodes;
use crate::http;
use crate::record::Record;
use crate::runner::{Runner, UNFRAMED_PIECES, unframed_piece};
use crate::store::Store;

const RUNNERS: usize = 2;
const NODES: usize = 7;
const ZONES: usize = 3;
/// Time for which a crashed runner is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time from the first crash to the second.
const GAP: Duration = Duration::from_secs(1);
const ROUNDS: usize = 3;

#[derive(Default)]
struct Answers {
    whole: usize,
    /// Successes that look complete and are not the runner's whole body.
    short: usize,
    other: usize,
}

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
    let answers = Arc::new(Mutex::new(Answers::default()));
    let mut threads = Vec::new();
    for round in 0..ROUNDS {
        for number in 0..60 {
            let node = Arc::clone(&nodes.nodes[number % NODES]);
            let (answers, record) = (Arc::clone(&answers), record.clone());
            let id = format!("u{round:02}{number:04x}");
            threads.push(std::thread::spawn(move || {
                ask(&node.name, node.front, &id, &answers, &record)
            }));
            std::thread::sleep(Duration::from_millis(50));
            if has_trouble && number == 20 {
                runners[0].crash(DOWN);
            }
            if has_trouble && number == 20 + (GAP.as_millis() / 50) as usize {
                runners[1].crash(DOWN);
            }
        }
        std::thread::sleep(DOWN * 2);
    }
    for thread in threads {
        let _ = thread.join();
    }
    let answers = answers.lock().unwrap();
    let is_broken = answers.short > 0;
    record.add(&format!(
        "{} whole answers, {} successes that look complete and are not whole, {} others: MIXED {}",
        answers.whole,
        answers.short,
        answers.other,
        if is_broken { "is broken" } else { "held" }
    ));
    Ok(is_broken)
}

fn ask(
    name: &str,
    front: std::net::SocketAddr,
    id: &str,
    answers: &Mutex<Answers>,
    record: &Record,
) {
    let request = format!(
        "GET /page/{id}/unframed HTTP/1.1\r\nHost: league.example\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Deadline-Ms: 5000\r\n\
         Connection: close\r\n\r\n"
    );
    // The node's answer has a length or chunks, so that one which is cut off is no whole message.
    let answer = http::call(front, &request, Duration::from_secs(6));
    let whole: Vec<String> = (1..=UNFRAMED_PIECES)
        .map(|piece| unframed_piece(id, piece))
        .collect();
    let mut answers = answers.lock().unwrap();
    match answer {
        Some(answer) if answer.status() == 200 && answer.text() == whole.concat() => {
            answers.whole += 1
        }
        Some(answer) if answer.status() == 200 => {
            answers.short += 1;
            let (pieces, seal) = (
                answer.text().lines().count(),
                answer.header("tealsaddle-response-seal").is_some(),
            );
            record.add(&format!("client: {id} by {name} is answered 200 with {pieces} of {UNFRAMED_PIECES} pieces, seal {seal}: BROKEN"));
        }
        other => {
            answers.other += 1;
            record.add(&format!(
                "client: {id} by {name} is answered {:?}",
                other.map(|answer| answer.status())
            ));
        }
    }
}
