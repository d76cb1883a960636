//! Stand-in of the platform's store: keys, leases, watches, and a return from an older copy.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{base64, from_base64, read_body, read_head, serve, write_answer, Json, Message};

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
struct Event {
    key: String,
    rev: u64,
    item: Option<Item>,
}

/// What a copy of the store holds.
#[derive(Debug, Clone, Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
    next_lease: u64,
    /// Length and remaining time of each lease.
    leases: HashMap<u64, (Duration, Duration)>,
}

/// How the store treats the machine of one listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Treatment {
    Serve,
    /// Every call gets 503.
    TurnAway,
}

#[derive(Debug)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    lease_ends: HashMap<u64, Instant>,
    treatment: HashMap<SocketAddr, Treatment>,
}

/// The stand-in. Each machine reaches it at an address of its own, so that it can turn single machines away.
#[derive(Debug, Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

/// A copy of the store, from which it can come back.
#[derive(Debug)]
pub struct Copy(Content);

impl Store {
    pub fn open() -> Self {
        let state = State {
            content: Content {
                revision: 100,
                next_lease: 1000,
                ..Content::default()
            },
            era: 7,
            is_away: false,
            lease_ends: HashMap::new(),
            treatment: HashMap::new(),
        };
        let store = Self(Arc::new((Mutex::new(state), Condvar::new())));
        let ending = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            ending.end_leases();
        });
        store
    }

    /// Opens an address of the store for one machine.
    pub fn listen(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        self.set_treatment(address, Treatment::Serve);
        let store = self.clone();
        serve(listener, move |stream| {
            store.serve_connection(stream, address)
        });
        address
    }

    pub fn set_treatment(&self, address: SocketAddr, treatment: Treatment) {
        self.0
             .0
            .lock()
            .unwrap()
            .treatment
            .insert(address, treatment);
        self.0 .1.notify_all();
    }

    /// Writes a key, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.content.put(key, value.as_bytes().to_vec(), 0);
        self.0 .1.notify_all();
    }

    /// Removes a key, as the platform does with the entry of a runner.
    pub fn remove(&self, key: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.content.remove(key);
        self.0 .1.notify_all();
    }

    /// Takes a copy.
    pub fn copy(&self) -> Copy {
        let state = self.0 .0.lock().unwrap();
        let mut content = state.content.clone();
        let now = Instant::now();
        for (lease, left) in &mut content.leases {
            let end = state.lease_ends.get(lease).copied().unwrap_or(now);
            left.1 = end.saturating_duration_since(now);
        }
        Copy(content)
    }

    /// Goes away: calls are not answered, and connections are closed.
    pub fn go_away(&self) {
        self.0 .0.lock().unwrap().is_away = true;
        self.0 .1.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.0 .0.lock().unwrap();
        state.content = copy.0;
        state.era += 1;
        state.is_away = false;
        let now = Instant::now();
        let leases = state.content.leases.iter();
        state.lease_ends = leases.map(|(id, left)| (*id, now + left.1)).collect();
        self.0 .1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.0 .0.lock().unwrap();
        // Leases pause while the store is away.
        if state.is_away {
            let step = Duration::from_millis(20);
            for end in state.lease_ends.values_mut() {
                *end += step;
            }
            return;
        }
        let now = Instant::now();
        let ended: Vec<u64> = state
            .lease_ends
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.0 .1.notify_all();
        }
    }

    fn serve_connection(&self, stream: TcpStream, address: SocketAddr) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let Some((status, era, body)) = self.answer(&request, address) else {
                return;
            };
            let headers = format!("content-type: application/json\r\nstore-era: {era}\r\n");
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The answer; `None` if the store is away, which closes the connection.
    fn answer(&self, request: &Message, address: SocketAddr) -> Option<(u16, u64, String)> {
        let (lock, changed) = &*self.0;
        let mut state = lock.lock().unwrap();
        let query = |name: &str| request.query(name).unwrap_or_default();
        if request.path() == "/kv-watch" {
            let prefix = query("prefix");
            let after: u64 = query("after").parse().unwrap_or(0);
            let wait: u64 = query("wait_ms").parse().unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(wait);
            let era = state.era;
            loop {
                if state.is_away || state.era != era {
                    return None;
                }
                if state.treatment.get(&address) == Some(&Treatment::TurnAway) {
                    return Some((503, state.era, "{}".to_owned()));
                }
                if after > state.content.revision {
                    return Some((410, state.era, "{}".to_owned()));
                }
                let events = state.content.history.iter();
                let events = events.filter(|e| e.rev > after && e.key.starts_with(&prefix));
                let events: Vec<String> = events.map(Event::json).collect();
                let now = Instant::now();
                if !events.is_empty() || now >= until {
                    let revision = state.content.revision;
                    let events = events.join(",");
                    let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                    return Some((200, state.era, body));
                }
                state = changed.wait_timeout(state, until - now).unwrap().0;
            }
        }
        if state.is_away {
            return None;
        }
        if state.treatment.get(&address) == Some(&Treatment::TurnAway) {
            return Some((503, state.era, "{}".to_owned()));
        }
        let (status, body) = state.call(request);
        changed.notify_all();
        Some((status, state.era, body))
    }
}

impl Event {
    fn json(&self) -> String {
        match &self.item {
            Some(item) => item.json(&self.key),
            None => format!(
                "{{\"key\":\"{}\",\"rev\":{},\"tombstone\":true}}",
                self.key, self.rev
            ),
        }
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
            base64(&self.value),
            self.rev,
            self.created,
            self.lease
        )
    }
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            rev: self.revision,
            created,
            lease,
        };
        self.history.push(Event {
            key: key.to_owned(),
            rev: self.revision,
            item: Some(item.clone()),
        });
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Event {
                key: key.to_owned(),
                rev: self.revision,
                item: None,
            });
        }
    }
}

impl State {
    fn end_lease(&mut self, lease: u64) -> bool {
        self.lease_ends.remove(&lease);
        let is_known = self.content.leases.remove(&lease).is_some();
        let bound = self
            .content
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease);
        let bound: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in bound {
            self.content.remove(&key);
        }
        is_known
    }

    fn call(&mut self, request: &Message) -> (u16, String) {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path();
        let revision = self.content.revision;
        let id = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok());
        match path {
            "/kv-key" => {
                let key = request.query("key").unwrap_or_default();
                match self.content.items.get(&key) {
                    Some(item) => (200, item.json(&key)),
                    None => (404, "{}".to_owned()),
                }
            }
            "/kv-range" => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let items = self.content.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item.json(key)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}"
                    ),
                )
            }
            "/kv-txn" => self.commit(&body),
            "/kv-lease" => {
                let ttl_ms = body.get("ttl_ms").number().unwrap_or(1000);
                let ttl = Duration::from_millis(ttl_ms);
                self.content.next_lease += 1;
                let lease = self.content.next_lease;
                self.content.leases.insert(lease, (ttl, ttl));
                self.lease_ends.insert(lease, Instant::now() + ttl);
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            _ if path.starts_with("/kv-keep/") => {
                let lease = id.and_then(|id| Some((id, self.content.leases.get(&id)?.0)));
                let Some((id, ttl)) = lease else {
                    return (404, "{}".to_owned());
                };
                self.lease_ends.insert(id, Instant::now() + ttl);
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            _ if path.starts_with("/kv-lease-end/") => match id {
                Some(id) if self.end_lease(id) => (200, "{}".to_owned()),
                _ => (404, "{}".to_owned()),
            },
            _ => (404, "{}".to_owned()),
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let revision_of = |key: &str| self.content.items.get(key).map_or(0, |item| item.rev);
        let conditions = body.get("precondition").list();
        let holds =
            |row: &Json| row.get("rev").number() == Some(revision_of(row.get("key").text()));
        if !conditions.iter().all(holds) {
            return (412, "{\"items\":[]}".to_owned());
        }
        let puts = body.get("puts").list();
        let lease_of = |row: &Json| row.get("lease").number().unwrap_or(0);
        let is_open = |lease: u64| lease == 0 || self.content.leases.contains_key(&lease);
        if !puts.iter().all(|row| is_open(lease_of(row))) {
            return (404, "{}".to_owned());
        }
        for row in puts {
            let value = from_base64(row.get("value").text());
            self.content
                .put(row.get("key").text(), value, lease_of(row));
        }
        for key in body.get("remove").list() {
            self.content.remove(key.text());
        }
        (200, format!("{{\"rev\":{}}}", self.content.revision))
    }
}
