//! A TCP proxy that drops, holds, delays and replays the bytes of its connections.
//!
//! The proxy keeps held bytes even if their sender gives up, is paused or dies, and delivers them
//! once the rules allow it, like a network that delivers late.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum number of chunks that are buffered per direction while held or delayed.
const MAX_BUFFERED_CHUNKS: usize = 1_024;
const CHUNK_BYTES: usize = 16 * 1_024;

/// Treatment of the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are held until the rule changes.
    Hold,
    /// Bytes are discarded; the connection stays open.
    Drop,
}

/// Rules for all connections, existing and new.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rules {
    /// Treatment of bytes from the client to the target.
    pub requests: Flow,
    /// Treatment of bytes from the target to the client.
    pub answers: Flow,
    /// Whether connections are reset; new ones are reset as soon as they are accepted.
    pub is_reset: bool,
    /// Latency added to each chunk.
    pub delay: Duration,
    /// Maximum bytes per second for each direction of a connection; unlimited if absent.
    pub bytes_per_s: Option<u64>,
    /// Requests that start with this text are held, together with all following bytes of their
    /// connection.
    pub held_prefix: Option<String>,
    /// Maximum number of requests held over the lifetime of the proxy; later ones pass. Unlimited
    /// if absent.
    pub max_held: Option<usize>,
}

#[derive(Debug, Default)]
struct Shared {
    opened: AtomicUsize,
    open: AtomicUsize,
    /// Requests held by [`Rules::held_prefix`] so far, kept for replay.
    held: Mutex<Vec<Vec<u8>>>,
}

impl Shared {
    /// Stores a chunk if it begins a request to be held, and returns the index of the request.
    fn hold(&self, rules: &Rules, chunk: &[u8]) -> Option<usize> {
        let mut held = self.held.lock().expect("the lock is not poisoned");
        let is_full = rules.max_held.is_some_and(|most| held.len() >= most);
        if is_full || !matches_held_prefix(rules, chunk) {
            return None;
        }
        held.push(chunk.to_vec());
        Some(held.len() - 1)
    }
}

/// A running proxy; it stops when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    target: SocketAddr,
    rules: watch::Sender<Rules>,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
        self.rules.send_modify(|rules| rules.is_reset = true);
    }
}

impl Proxy {
    /// Binds a proxy in front of `target` to a free port.
    pub async fn bind(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let rules = watch::Sender::new(Rules::default());
        let shared = Arc::<Shared>::default();
        let task = tokio::spawn(accept(
            listener,
            target,
            rules.subscribe(),
            Arc::clone(&shared),
        ));
        Ok(Self {
            address,
            target,
            rules,
            shared,
            task,
        })
    }

    /// Address on which the proxy listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the rules, with immediate effect on all connections.
    pub fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut Rules),
    {
        self.rules.send_modify(change);
    }

    /// Holds all bytes in both directions.
    pub fn hold_all(&self) {
        self.update(|rules| {
            rules.requests = Flow::Hold;
            rules.answers = Flow::Hold;
        });
    }

    /// Resets all existing and new connections.
    pub fn reset(&self) {
        self.update(|rules| rules.is_reset = true);
    }

    /// Restores the default rules, which forward everything.
    pub fn clear_rules(&self) {
        self.update(|rules| *rules = Rules::default());
    }

    /// Number of connections accepted so far.
    pub fn connections_opened(&self) -> usize {
        self.shared.opened.load(Ordering::Relaxed)
    }

    /// Number of connections currently open.
    pub fn connections_open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Number of requests held by [`Rules::held_prefix`] so far.
    pub fn held_requests(&self) -> usize {
        self.shared
            .held
            .lock()
            .expect("the lock is not poisoned")
            .len()
    }

    /// Sends a copy of each held request on a new connection and returns the responses.
    pub async fn replay_held(&self) -> io::Result<Vec<String>> {
        let held = self
            .shared
            .held
            .lock()
            .expect("the lock is not poisoned")
            .clone();
        let mut answers = Vec::new();
        for request in held {
            let mut stream = TcpStream::connect(self.target).await?;
            stream.write_all(&request).await?;
            let mut answer = vec![0; CHUNK_BYTES];
            let length = stream.read(&mut answer).await?;
            answers.push(String::from_utf8_lossy(&answer[..length]).into_owned());
        }
        Ok(answers)
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    rules: watch::Receiver<Rules>,
    shared: Arc<Shared>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let rules = rules.clone();
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            shared.opened.fetch_add(1, Ordering::Relaxed);
            shared.open.fetch_add(1, Ordering::Relaxed);
            // An error of one connection affects no other.
            drop(forward(client, target, rules, &shared).await);
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn forward(
    mut client: TcpStream,
    target: SocketAddr,
    rules: watch::Receiver<Rules>,
    shared: &Shared,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut reset = rules.clone();
    if reset.borrow().is_reset {
        return client.set_zero_linger();
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return client.set_zero_linger();
    };
    server.set_nodelay(true)?;
    let is_reset = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        let requests = forward_direction(from_client, to_server, rules.clone(), Some(shared));
        let answers = forward_direction(from_server, to_client, rules, None);
        tokio::select! {
            _ = reset.wait_for(|rules| rules.is_reset) => true,
            // After an error in the response direction, requests may still have to be delivered.
            _ = async { tokio::join!(requests, answers) } => false,
        }
    };
    if is_reset {
        client.set_zero_linger()?;
        server.set_zero_linger()?;
    }
    Ok(())
}

/// Forwards one direction; `requests` is present only for the direction from the client.
async fn forward_direction<R, W>(
    mut from: R,
    mut to: W,
    mut rules: watch::Receiver<Rules>,
    requests: Option<&Shared>,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_BUFFERED_CHUNKS);
    let read = async move {
        let mut chunk = vec![0; CHUNK_BYTES];
        while let Ok(length) = from.read(&mut chunk).await {
            let kept = (Instant::now(), chunk[..length].to_vec());
            if length == 0 || sender.send(kept).await.is_err() {
                break;
            }
        }
    };
    let flow = |rules: &Rules| {
        if requests.is_some() {
            rules.requests
        } else {
            rules.answers
        }
    };
    let write = async {
        while let Some((received, mut chunk)) = receiver.recv().await {
            let held = requests.and_then(|shared| shared.hold(&rules.borrow(), &chunk));
            if let Some(shared) = requests
                && let Some(index) = held
            {
                // An error means that the proxy was dropped, together with the held bytes.
                rules
                    .wait_for(|rules| !matches_held_prefix(rules, &chunk))
                    .await
                    .map_err(io::Error::other)?;
                while let Ok((_, more)) = receiver.try_recv() {
                    chunk.extend(more);
                }
                let mut held = shared.held.lock().expect("the lock is not poisoned");
                held[index].clone_from(&chunk);
            }
            let delay = rules.borrow().delay;
            tokio::time::sleep_until(received + delay).await;
            rules
                .wait_for(|rules| flow(rules) != Flow::Hold)
                .await
                .map_err(io::Error::other)?;
            if flow(&rules.borrow()) == Flow::Drop {
                continue;
            }
            to.write_all(&chunk).await?;
            let rate = rules.borrow().bytes_per_s;
            if let Some(bytes_per_s) = rate {
                let time_us = chunk.len() as u64 * 1_000_000 / bytes_per_s.max(1);
                tokio::time::sleep(Duration::from_micros(time_us)).await;
            }
        }
        // While bytes are held or dropped, the end of the connection is not forwarded either.
        rules
            .wait_for(|rules| flow(rules) == Flow::Pass)
            .await
            .map_err(io::Error::other)?;
        to.shutdown().await
    };
    let ((), written) = tokio::join!(read, write);
    written
}

fn matches_held_prefix(rules: &Rules, chunk: &[u8]) -> bool {
    let start = rules.held_prefix.as_deref();
    start.is_some_and(|start| chunk.starts_with(start.as_bytes()))
}
