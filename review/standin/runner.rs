//! Stand-in for a runner: a process of a service that registers itself in the store.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::json;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the acceptance of an order until the runner has changed its stage.
const SWITCH: Duration = Duration::from_secs(3);

/// Number of pieces of an answer without a length, and the pause before each.
pub const UNFRAMED_PIECES: usize = 10;
const UNFRAMED_PAUSE: Duration = Duration::from_millis(150);

/// A piece of an answer without a length.
pub fn unframed_piece(id: &str, piece: usize) -> String {
    format!("piece {piece} of {UNFRAMED_PIECES} for {id}\n")
}

/// Number of events of a stream, and the pause before each.
pub const EVENTS: usize = 12;
const EVENT_PAUSE: Duration = Duration::from_millis(150);

/// An event of a stream.
pub fn event(number: usize) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

/// A request that has arrived.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
}

/// An order that has arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub at: Instant,
    pub holder: String,
    pub fence: u64,
}

struct State {
    stage: Option<&'static str>,
    orders_accepted: u64,
    is_busy: bool,
    is_leaving: bool,
    /// Orders get no answer and are carried out after this time.
    orders_late: Option<Duration>,
    limit: Option<u32>,
    running: usize,
    arrivals: Vec<Arrival>,
    orders: Vec<Order>,
    first_limited: Option<Instant>,
    /// Start of the process, in Unix milliseconds; 0 while it is down.
    born: u64,
    connections: Vec<TcpStream>,
    /// Requests to a path that ends with this crash the process, which is back after this time.
    deadly: Option<(&'static str, Duration)>,
    crashes: Vec<Instant>,
    /// Until when the runner sends nothing.
    silent_until: Option<Instant>,
    /// Requests are turned away after this time.
    refuses_after: Option<Duration>,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    service: String,
    zone: String,
    work: Duration,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis() as u64)
}

impl Runner {
    /// Starts a runner, which registers at once. `stage` is set for a model runner.
    pub fn start(
        id: &str,
        service: &str,
        stage: Option<&'static str>,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        Self::start_in("hall-1", id, service, stage, work, store, record)
    }

    /// Starts a runner in a zone.
    pub fn start_in(
        zone: &str,
        id: &str,
        service: &str,
        stage: Option<&'static str>,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        listener
            .set_nonblocking(true)
            .map_err(|error| error.to_string())?;
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            address: listener.local_addr().map_err(|error| error.to_string())?,
            state: Arc::new(Mutex::new(State {
                stage,
                orders_accepted: 0,
                is_busy: false,
                is_leaving: false,
                orders_late: None,
                limit: None,
                running: 0,
                arrivals: Vec::new(),
                orders: Vec::new(),
                first_limited: None,
                born: unix_ms(),
                connections: Vec::new(),
                deadly: None,
                crashes: Vec::new(),
                silent_until: None,
                refuses_after: None,
            })),
            store: store.clone(),
            record: record.clone(),
        };
        runner.register();
        let beating = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        let accepting = runner.clone();
        std::thread::spawn(move || accepting.accept_connections(listener));
        Ok(runner)
    }

    /// Accepts connections while the process runs, and listens again when it is back.
    fn accept_connections(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let is_down = self.state.lock().unwrap().born == 0;
            if is_down {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
                let listens = listener
                    .as_ref()
                    .is_some_and(|listener| listener.set_nonblocking(true).is_ok());
                if listens {
                    self.record.add(&format!("runner {}: is back", self.id));
                    self.register();
                }
            }
            match listener.as_ref().map(TcpListener::accept) {
                Some(Ok((stream, _))) => {
                    let _ = stream.set_nonblocking(false);
                    let runner = self.clone();
                    std::thread::spawn(move || runner.serve(stream));
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends the process: its connections end, nothing listens, and it is back after some time with another start.
    pub fn crash(&self, back_after: Duration) {
        let mut state = self.state.lock().unwrap();
        if state.born == 0 {
            return;
        }
        state.born = 0;
        state.running = 0;
        state.crashes.push(Instant::now());
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.record.add(&format!("runner {}: crashes", self.id));
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(back_after);
            let mut state = runner.state.lock().unwrap();
            state.born = unix_ms();
            state.orders_accepted = 0;
            state.is_busy = false;
        });
    }

    /// Requests to a path that ends with `path` crash the process from now on.
    pub fn set_deadly(&self, path: &'static str, back_after: Duration) {
        self.state.lock().unwrap().deadly = Some((path, back_after));
    }

    /// Sends nothing for some time, and then goes on.
    pub fn fall_silent(&self, length: Duration) {
        self.state.lock().unwrap().silent_until = Some(Instant::now() + length);
        self.record
            .add(&format!("runner {}: is silent for {length:?}", self.id));
    }

    /// Turns all requests away from now on, each after this time.
    pub fn set_refuses_after(&self, after: Duration) {
        self.state.lock().unwrap().refuses_after = Some(after);
    }

    /// Reports that it drains, and goes on with its work.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_leaving = true;
        self.register();
        self.record
            .add(&format!("runner {}: reports that it drains", self.id));
    }

    fn wait_while_silent(&self) {
        let silent_until = self.state.lock().unwrap().silent_until;
        if let Some(left) =
            silent_until.and_then(|until| until.checked_duration_since(Instant::now()))
        {
            std::thread::sleep(left);
        }
    }

    /// Sends the events of a stream in chunks, after the last one that the request names.
    fn stream(&self, id: &str, request: &Message, writer: &mut TcpStream) -> bool {
        let first = request
            .header("last-event-id")
            .and_then(|last| last.trim().parse::<usize>().ok())
            .unwrap_or(0)
            + 1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Response-Seal: s.{id}\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for number in first..=EVENTS {
            std::thread::sleep(EVENT_PAUSE);
            self.wait_while_silent();
            let event = event(number);
            if writer
                .write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
                .is_err()
            {
                self.record.add(&format!(
                    "runner {}: the connection of {id} was closed before event {number}",
                    self.id
                ));
                return false;
            }
        }
        self.record
            .add(&format!("runner {}: sent the last event of {id}", self.id));
        writer.write_all(b"0\r\n\r\n").is_ok()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.lock().unwrap().crashes.clone()
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn register(&self) {
        let state = self.state.lock().unwrap();
        if state.born == 0 {
            return;
        }
        let stage = state.stage.map_or(String::new(), |stage| format!("\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"));
        let word = if state.is_leaving {
            "draining"
        } else {
            "ready"
        };
        let value = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\"state\":\"{word}\",\
             \"cold_left_ms\":0,{stage}\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.zone, state.born
        );
        drop(state);
        self.store.beat(&self.key(), &value, HEARTBEAT * 3);
    }

    /// Leaves orders unanswered from now on, and carries them out after this time.
    pub fn set_orders_late(&self, late: Option<Duration>) {
        self.state.lock().unwrap().orders_late = late;
    }

    /// Names a limit in all answers from now on.
    pub fn set_limit(&self, limit: Option<u32>) {
        self.state.lock().unwrap().limit = limit;
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    /// When the runner first named its limit in an answer.
    pub fn first_limited(&self) -> Option<Instant> {
        self.state.lock().unwrap().first_limited
    }

    pub fn stage(&self) -> Option<&'static str> {
        self.state.lock().unwrap().stage
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        {
            let mut state = self.state.lock().unwrap();
            if state.born == 0 {
                return;
            }
            state.connections.extend(stream.try_clone());
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read(&mut reader) {
            if !self.respond(&request, &mut writer) {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> bool {
        if request
            .header("tealsaddle-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            let headers = format!(
                "Tealsaddle-Not-Executed: 1\r\nTealsaddle-Instance-Id: {}\r\n",
                self.id
            );
            return http::answer(writer, "421 Misdirected Request", &headers, "");
        }
        match (request.method(), request.path()) {
            ("GET", "/report") => {
                let state = self.state.lock().unwrap();
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\"seq\":{},\
                     \"queue_len\":0,\"num_running\":{},\"kv_used\":0,\"kv_total\":555723,\"kv_handles\":0,\"born\":{}}}",
                    state.stage.unwrap_or("decode"),
                    state.is_busy,
                    state.orders_accepted,
                    state.running,
                    state.born
                );
                drop(state);
                http::answer(
                    writer,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    &body,
                )
            }
            ("POST", "/order") => self.on_order(request, writer),
            ("DELETE", _) => http::answer(writer, "200 OK", "", ""),
            _ => self.run(request, writer),
        }
    }

    fn on_order(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let Some(body) = json::parse(&request.text()) else {
            return http::answer(writer, "400 Bad Request", "", "");
        };
        let stage = if body.get("stage").text() == "prefill" {
            "prefill"
        } else {
            "decode"
        };
        let order = Order {
            at: Instant::now(),
            holder: body.get("holder").text().to_owned(),
            fence: body.get("fence").number(),
        };
        let expected = body.get("precondition").clone();
        let mut state = self.state.lock().unwrap();
        let late = state.orders_late;
        self.record.add(&format!(
            "runner {}: order to {stage} by {} with fence {}, expects {expected:?}{}",
            self.id,
            order.holder,
            order.fence,
            late.map_or(String::new(), |late| format!(
                ", unanswered and carried out {late:?} later"
            ))
        ));
        state.orders.push(order);
        drop(state);
        if let Some(late) = late {
            let runner = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(late);
                let status = runner.accept(stage, &expected);
                runner.record.add(&format!(
                    "runner {}: late order to {stage}: {status}",
                    runner.id
                ));
            });
            // The connection returns nothing further.
            std::thread::sleep(late);
            return false;
        }
        let status = self.accept(stage, &expected);
        http::answer(writer, status, "", "")
    }

    fn accept(&self, stage: &'static str, expected: &json::Json) -> &'static str {
        let mut state = self.state.lock().unwrap();
        if state.stage == Some(stage) {
            return "200 OK";
        }
        let is_expected =
            matches!(expected, json::Json::Null) || expected.number() == state.orders_accepted;
        if state.is_busy || !is_expected {
            return "409 Conflict";
        }
        state.orders_accepted += 1;
        state.is_busy = true;
        let runner = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(SWITCH);
            let mut state = runner.state.lock().unwrap();
            state.stage = Some(stage);
            state.is_busy = false;
            drop(state);
            runner
                .record
                .add(&format!("runner {}: serves {stage} now", runner.id));
            runner.register();
        });
        "202 Accepted"
    }

    /// Answers with a body that has neither a length nor chunks, in pieces.
    fn run_unframed(&self, id: &str, born: u64, writer: &mut TcpStream) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nTealsaddle-Request-Id: {id}\r\nTealsaddle-Response-Seal: s.{id}\r\nConnection: close\r\n\r\n"
        );
        let mut sent = writer.write_all(head.as_bytes()).is_ok();
        for piece in 1..=UNFRAMED_PIECES {
            std::thread::sleep(UNFRAMED_PAUSE);
            let is_same = self.state.lock().unwrap().born == born;
            sent = sent
                && is_same
                && writer
                    .write_all(unframed_piece(id, piece).as_bytes())
                    .is_ok();
        }
        let mut state = self.state.lock().unwrap();
        if state.born == born {
            state.running -= 1;
        }
        if sent {
            // The answer ends with its connection.
            let _ = writer.shutdown(std::net::Shutdown::Both);
        }
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let id = request
            .header("tealsaddle-request-id")
            .unwrap_or("")
            .to_owned();
        let refuses_after = self.state.lock().unwrap().refuses_after;
        if let Some(after) = refuses_after {
            self.record.add(&format!(
                "runner {}: {id} arrives and is turned away {after:?} later",
                self.id
            ));
            std::thread::sleep(after);
            let headers = format!("Tealsaddle-Request-Id: {id}\r\nTealsaddle-Not-Executed: 1\r\n");
            return http::answer(writer, "503 Service Unavailable", &headers, "");
        }
        let mut state = self.state.lock().unwrap();
        state.arrivals.push(Arrival {
            at: Instant::now(),
            id: id.clone(),
        });
        state.running += 1;
        let born = state.born;
        let deadly = state
            .deadly
            .filter(|(path, _)| request.path().ends_with(path));
        drop(state);
        if let Some((_, back_after)) = deadly {
            self.record.add(&format!(
                "runner {}: begins to run {id}, which crashes it",
                self.id
            ));
            self.crash(back_after);
            return false;
        }
        if request.path().ends_with("/unframed") {
            self.run_unframed(&id, born, writer);
            return false;
        }
        std::thread::sleep(self.work);
        let mut state = self.state.lock().unwrap();
        if state.born != born {
            return false;
        }
        state.running -= 1;
        let limit = state
            .limit
            .map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        if state.limit.is_some() {
            state.first_limited.get_or_insert_with(Instant::now);
        }
        let load = format!("Tealsaddle-Server-Load: {},0,64\r\n", state.running);
        drop(state);
        let headers = format!(
            "Tealsaddle-Request-Id: {id}\r\nTealsaddle-Response-Seal: s.{id}\r\n{load}{limit}"
        );
        if request.header("tealsaddle-serving-stage").is_some() {
            let body = format!("{{\"handle\":\"h{id}\",\"tokens\":100,\"version\":1}}");
            return http::answer(
                writer,
                "200 OK",
                &format!("{headers}Content-Type: application/json\r\n"),
                &body,
            );
        }
        if self.state.lock().unwrap().stage.is_some() {
            return self.stream(&id, request, writer);
        }
        let body = format!("answer of {} to {id}\n", self.id);
        http::answer(writer, "200 OK", &headers, &body) && writer.flush().is_ok()
    }
}
