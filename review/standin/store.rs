//! Stand-in for the platform's store.

use std::collections::{BTreeMap, VecDeque};
use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};
use crate::record::Record;

#[derive(Debug, Clone)]
struct Item {
    /// As base64.
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    rev: u64,
    json: String,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Debug, Clone, Default)]
struct Data {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    leases: BTreeMap<u64, Lease>,
}

#[derive(Default)]
struct State {
    data: Data,
    era: u64,
    next_lease: u64,
    is_away: bool,
    copies: VecDeque<(Instant, Data)>,
    connections: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
    record: Record,
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.rev, item.created, item.lease
    )
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        self.history.push(Event {
            key: key.to_owned(),
            rev: self.rev,
            json: item_json(key, &item),
        });
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let json = format!(
                "{{\"key\":\"{key}\",\"rev\":{},\"tombstone\":true}}",
                self.rev
            );
            self.history.push(Event {
                key: key.to_owned(),
                rev: self.rev,
                json,
            });
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
        true
    }
}

impl Store {
    pub fn bind(record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let state = State {
            era: 1,
            data: Data {
                rev: 100,
                ..Data::default()
            },
            next_lease: 70_000,
            ..State::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            address,
            record: record.clone(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let ticking = store.clone();
        std::thread::spawn(move || ticking.tick());
        Ok(store)
    }

    /// Ends leases, and takes a copy every tenth of a second.
    fn tick(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            let (state, changed) = &*self.shared;
            let mut state = state.lock().unwrap();
            if state.is_away {
                continue;
            }
            let now = Instant::now();
            let ended: Vec<u64> = state
                .data
                .leases
                .iter()
                .filter(|(_, lease)| lease.ends <= now)
                .map(|(id, _)| *id)
                .collect();
            for lease in &ended {
                self.record.add(&format!("store: lease {lease} has ended"));
                state.data.end_lease(*lease);
            }
            let is_due = state
                .copies
                .back()
                .is_none_or(|(taken, _)| now >= *taken + Duration::from_millis(100));
            if is_due {
                let copy = state.data.clone();
                state.copies.push_back((now, copy));
                if state.copies.len() > 300 {
                    state.copies.pop_front();
                }
            }
            drop(state);
            if !ended.is_empty() {
                changed.notify_all();
            }
        }
    }

    /// Goes away for a moment and comes back from a copy of this age.
    pub fn drill(&self, away: Duration, age: Duration) {
        let (state, changed) = &*self.shared;
        let mut locked = state.lock().unwrap();
        locked.is_away = true;
        for connection in locked.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.record.add(&format!(
            "store: away, era {}, revision {}",
            locked.era, locked.data.rev
        ));
        drop(locked);
        changed.notify_all();
        std::thread::sleep(away);
        let mut locked = state.lock().unwrap();
        let now = Instant::now();
        let copies = std::mem::take(&mut locked.copies);
        let (taken, mut data) = copies
            .into_iter()
            .rev()
            .find(|(taken, _)| now.duration_since(*taken) >= age)
            .expect("a copy of this age");
        for lease in data.leases.values_mut() {
            // What was left of it at the time of the copy.
            lease.ends = now + lease.ends.saturating_duration_since(taken);
        }
        locked.data = data;
        locked.era += 1;
        locked.is_away = false;
        self.record.add(&format!(
            "store: back from a copy {:.1} s old, era {}, revision {}, holder {:?}",
            now.duration_since(taken).as_secs_f64(),
            locked.era,
            locked.data.rev,
            locked
                .data
                .items
                .get("tealsaddle/holder")
                .map(|item| json::from_base64(&item.value))
        ));
    }

    /// Writes a key as the operator.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        state
            .lock()
            .unwrap()
            .data
            .put(key, json::base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    /// Writes a key as a runner, bound to a lease of three heartbeats. Where the value is the same, only the lease is renewed.
    pub fn beat(&self, key: &str, value: &str, ttl: Duration) -> bool {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return false;
        }
        let value = json::base64(value.as_bytes());
        let ends = Instant::now() + ttl;
        let known = state
            .data
            .items
            .get(key)
            .filter(|item| item.value == value)
            .map(|item| item.lease);
        if let Some(lease) = known.and_then(|lease| state.data.leases.get_mut(&lease)) {
            lease.ends = ends;
            return true;
        }
        if let Some(old) = state.data.items.get(key).map(|item| item.lease) {
            state.data.leases.remove(&old);
        }
        state.next_lease += 1;
        let lease = state.next_lease;
        state.data.leases.insert(lease, Lease { ttl, ends });
        state.data.put(key, value, lease);
        drop(state);
        changed.notify_all();
        true
    }

    /// The value of a key and its revision.
    pub fn value(&self, key: &str) -> Option<(String, u64)> {
        let state = self.shared.0.lock().unwrap();
        let item = state.data.items.get(key)?;
        Some((json::from_base64(&item.value), item.rev))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        {
            let mut state = self.shared.0.lock().unwrap();
            if state.is_away {
                return;
            }
            state.connections.extend(stream.try_clone());
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            let Some((status, body, era)) = self.respond(&request) else {
                return;
            };
            let headers = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            if !http::answer(&mut writer, status, &headers, &body) {
                return;
            }
        }
    }

    fn respond(&self, request: &http::Message) -> Option<(&'static str, String, u64)> {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let query = |name: &str| request.query(name).unwrap_or_default();
        let path = request.path().to_owned();
        let (status, body) = match (request.method(), path.as_str()) {
            ("GET", "/kv-watch") => {
                let (prefix, after) = (query("prefix"), query("after").parse().unwrap_or(0));
                let until =
                    Instant::now() + Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
                let era = state.era;
                loop {
                    if state.is_away || state.era != era {
                        return None;
                    }
                    if after > state.data.rev {
                        break ("410 Gone", "{}".to_owned());
                    }
                    let events = state
                        .data
                        .history
                        .iter()
                        .filter(|event| event.rev > after && event.key.starts_with(&prefix));
                    let events: Vec<&str> = events.map(|event| event.json.as_str()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        break (
                            "200 OK",
                            format!(
                                "{{\"events\":[{}],\"store_revision\":{}}}",
                                events.join(","),
                                state.data.rev
                            ),
                        );
                    }
                    state = changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            _ if state.is_away => return None,
            ("GET", "/kv-range") => {
                let (prefix, after) = (query("prefix"), query("after"));
                let items = state
                    .data
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item_json(key, item)).collect();
                (
                    "200 OK",
                    format!(
                        "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                        items.join(","),
                        state.data.rev
                    ),
                )
            }
            ("POST", "/kv-txn") => self.commit(&mut state, &json::parse(&request.text())?),
            ("POST", "/kv-lease") => {
                let ttl_ms = json::parse(&request.text())?.get("ttl_ms").number();
                let ttl = Duration::from_millis(ttl_ms);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.data.leases.insert(
                    lease,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                (
                    "200 OK",
                    format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"),
                )
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = path.trim_start_matches("/kv-keep/").parse().unwrap_or(0);
                match state.data.leases.get_mut(&lease) {
                    Some(lease) => {
                        lease.ends = Instant::now() + lease.ttl;
                        (
                            "200 OK",
                            format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()),
                        )
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let lease = path
                    .trim_start_matches("/kv-lease-end/")
                    .parse()
                    .unwrap_or(0);
                if state.data.end_lease(lease) {
                    ("200 OK", "{}".to_owned())
                } else {
                    ("404 Not Found", "{}".to_owned())
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        };
        let era = state.era;
        drop(state);
        changed.notify_all();
        Some((status, body, era))
    }

    fn commit(&self, state: &mut State, body: &Json) -> (&'static str, String) {
        for row in body.get("precondition").list() {
            let rev = state
                .data
                .items
                .get(row.get("key").text())
                .map_or(0, |item| item.rev);
            if rev != row.get("rev").number() {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        let puts = body.get("puts").list();
        for put in puts {
            let lease = put.get("lease").number();
            if lease > 0 && !state.data.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
        }
        for put in puts {
            let key = put.get("key").text();
            state.data.put(
                key,
                put.get("value").text().to_owned(),
                put.get("lease").number(),
            );
            if key.starts_with("tealsaddle/") && !key.starts_with("tealsaddle/nodes/") {
                let value = json::from_base64(put.get("value").text());
                self.record.add(&format!(
                    "store: {key} = {value} at revision {}, era {}",
                    state.data.rev, state.era
                ));
            }
        }
        for key in body.get("remove").list() {
            state.data.remove(key.text());
        }
        ("200 OK", format!("{{\"rev\":{}}}", state.data.rev))
    }
}
