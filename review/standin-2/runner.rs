//! Stand-in of a runner: of a model service, which streams events, or of a plain service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::net::{read_body, read_head, serve, write_answer, Message};
use crate::record::Record;
use crate::store::Store;

/// What a runner is and does.
#[derive(Debug, Clone)]
pub struct Terms {
    pub id: String,
    pub service: &'static str,
    /// Version of its software.
    pub version: &'static str,
    /// Whether it is of a model service, and so streams events.
    pub is_model: bool,
    /// Number of events of a stream.
    pub events: u64,
    /// Pause before each event, or the time of a plain answer.
    pub pause: Duration,
}

/// A runner that listens and is registered.
#[derive(Debug, Clone)]
pub struct Runner {
    pub terms: Arc<Terms>,
    pub address: SocketAddr,
    born: u128,
    record: Record,
}

impl Runner {
    /// Starts a runner and writes its registration.
    pub fn start(terms: Terms, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time after 1970");
        let runner = Self {
            address: listener.local_addr().expect("a bound address"),
            terms: Arc::new(terms),
            born: now.as_millis(),
            record: record.clone(),
        };
        let server = runner.clone();
        serve(listener, move |stream| {
            let _ = server.serve_connection(stream);
        });
        runner.register(store);
        runner
    }

    /// Writes the registration.
    pub fn register(&self, store: &Store) {
        let Terms {
            id,
            service,
            version,
            is_model,
            ..
        } = &*self.terms;
        let (address, born) = (self.address, self.born);
        let stage = if *is_model {
            ",\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
        } else {
            ""
        };
        let entry = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\
             \"slots\":16,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born},\"seq\":1{stage}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let Terms { id, is_model, .. } = &*self.terms;
        let expected = request.header("tealsaddle-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let headers = format!("tealsaddle-instance-id: {id}\r\n");
            return write_answer(writer, 421, &headers, b"");
        }
        match request.path() {
            "/healthz" => {
                let headers = format!("tealsaddle-instance-id: {id}\r\n");
                write_answer(writer, 200, &headers, b"")
            }
            "/report" if *is_model => {
                let report = format!(
                    "{{\"stage\":\"decode\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":0,\"queue_len\":0,\"num_running\":0,\"kv_used\":0,\
                     \"kv_total\":400000,\"kv_handles\":0,\"born\":{}}}",
                    self.born
                );
                write_answer(
                    writer,
                    200,
                    "content-type: application/json\r\n",
                    report.as_bytes(),
                )
            }
            "/order" => write_answer(writer, 400, "", b""),
            path if path.starts_with("/kv-handle/") => write_answer(writer, 200, "", b""),
            _ => self.run(request, writer),
        }
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let Terms {
            id,
            version,
            is_model,
            events,
            pause,
            ..
        } = &*self.terms;
        let Some(request_id) = request.header("tealsaddle-request-id") else {
            return write_answer(writer, 400, "tealsaddle-not-executed: 1\r\n", b"");
        };
        let tenant = request.header("tealsaddle-tenant").unwrap_or("-");
        let after = request.header("last-event-id");
        let text = format!(
            "runner {id} ({version}) runs {request_id} tenant {tenant} after event {}",
            after.unwrap_or("-")
        );
        self.record.add(&text);
        let own =
            format!("tealsaddle-request-id: {request_id}\r\ntealsaddle-response-seal: s.{id}\r\n");
        if !is_model {
            std::thread::sleep(*pause);
            return write_answer(writer, 200, &own, b"done\n");
        }
        if request.header("tealsaddle-serving-stage").is_some() {
            return write_answer(writer, 421, "", b"");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        let first = after
            .and_then(|after| after.parse::<u64>().ok())
            .unwrap_or(0)
            + 1;
        for number in first..=*events {
            std::thread::sleep(*pause);
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
