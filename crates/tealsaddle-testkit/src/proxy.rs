//! A TCP proxy that cuts, holds, delays and repeats what passes.
//!
//! Bytes that are held stay with the proxy when their sender gives up, is paused or dies, and are
//! delivered once the rules let them pass, as a network does that delivers late.

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

/// Chunks of one direction that are kept while held or delayed.
const CHUNKS_KEPT: usize = 1_024;
const CHUNK_BYTES: usize = 16 * 1_024;

/// What happens to the bytes of one direction.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Pass,
    /// They wait until the rule changes.
    Hold,
    /// They are lost; the connection stays open.
    Drop,
}

/// What happens to all connections, open and new.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rules {
    /// From the client to the target.
    pub requests: Flow,
    /// From the target to the client.
    pub answers: Flow,
    /// Whether connections are reset, new ones as soon as they are accepted.
    pub is_reset: bool,
    /// Time that each chunk takes on its way.
    pub delay: Duration,
    /// Bytes in a second for each direction of a connection.
    pub bytes_per_s: Option<u64>,
    /// Requests that start with this text are held, with what follows on their connection.
    pub held_prefix: Option<String>,
    /// Most requests that are held in the life of the proxy; later ones pass. No bound if absent.
    pub max_held: Option<usize>,
}

#[derive(Debug, Default)]
struct Shared {
    opened: AtomicUsize,
    open: AtomicUsize,
    held: Mutex<Vec<Vec<u8>>>,
}

impl Shared {
    /// Keeps a request that is to be held and gives its number.
    fn hold(&self, rules: &Rules, chunk: &[u8]) -> Option<usize> {
        let mut held = self.held.lock().expect("no holder of the lock panics");
        let is_full = rules.max_held.is_some_and(|most| held.len() >= most);
        if is_full || !is_held(rules, chunk) {
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
    /// Binds a proxy before `target`.
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

    /// Address that the proxy is bound to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the rules for all connections at once.
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

    /// Resets all connections, also new ones.
    pub fn reset(&self) {
        self.update(|rules| rules.is_reset = true);
    }

    /// Lets everything pass again.
    pub fn clear_rules(&self) {
        self.update(|rules| *rules = Rules::default());
    }

    /// Connections accepted so far.
    pub fn connections_opened(&self) -> usize {
        self.shared.opened.load(Ordering::Relaxed)
    }

    /// Connections open now.
    pub fn connections_open(&self) -> usize {
        self.shared.open.load(Ordering::Relaxed)
    }

    /// Requests that were held by [`Rules::held_prefix`] so far.
    pub fn held_requests(&self) -> usize {
        self.shared
            .held
            .lock()
            .expect("no holder of the lock panics")
            .len()
    }

    /// Sends each request that was held once more, on a connection of its own, and gives the
    /// answers.
    pub async fn replay_held(&self) -> io::Result<Vec<String>> {
        let held = self
            .shared
            .held
            .lock()
            .expect("no holder of the lock panics")
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
            // A broken connection ends its own traffic and nothing else.
            drop(carry(client, target, rules, &shared).await);
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn carry(
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
        let requests = pump(from_client, to_server, rules.clone(), Some(shared));
        let answers = pump(from_server, to_client, rules, None);
        tokio::select! {
            _ = reset.wait_for(|rules| rules.is_reset) => true,
            // When the answers end in an error the requests may still have to be delivered.
            _ = async { tokio::join!(requests, answers) } => false,
        }
    };
    if is_reset {
        client.set_zero_linger()?;
        server.set_zero_linger()?;
    }
    Ok(())
}

/// Carries one direction; `requests` is given for the direction from the client.
async fn pump<R, W>(
    mut from: R,
    mut to: W,
    mut rules: watch::Receiver<Rules>,
    requests: Option<&Shared>,
) -> io::Result<()>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let (sender, mut receiver) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_KEPT);
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
                // An error means that the proxy is gone, and with it what it held.
                rules
                    .wait_for(|rules| !is_held(rules, &chunk))
                    .await
                    .map_err(io::Error::other)?;
                while let Ok((_, more)) = receiver.try_recv() {
                    chunk.extend(more);
                }
                let mut held = shared.held.lock().expect("no holder of the lock panics");
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
            let pace = rules.borrow().bytes_per_s;
            if let Some(bytes_per_s) = pace {
                let time_us = chunk.len() as u64 * 1_000_000 / bytes_per_s.max(1);
                tokio::time::sleep(Duration::from_micros(time_us)).await;
            }
        }
        // A cut also hides the end of the connection.
        rules
            .wait_for(|rules| flow(rules) == Flow::Pass)
            .await
            .map_err(io::Error::other)?;
        to.shutdown().await
    };
    let ((), written) = tokio::join!(read, write);
    written
}

fn is_held(rules: &Rules, chunk: &[u8]) -> bool {
    let start = rules.held_prefix.as_deref();
    start.is_some_and(|start| chunk.starts_with(start.as_bytes()))
}
