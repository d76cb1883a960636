//! Server for calls from peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::task::{Context, Poll};

use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::{Request as HttpRequest, Response as HttpResponse};
use tealsaddle_schema::peer::peer_server::{Peer, PeerServer};
use tealsaddle_schema::peer::{
    DrainReply, DrainRequest, GetConfigReply, GetConfigRequest, HeartbeatReply, HeartbeatRequest,
    RegisterReply, RegisterRequest,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tonic::body::Body;
use tonic::codegen::Service;
use tonic::server::NamedService;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Code, Request, Response, Status};

use super::MAX_MESSAGE_BYTES;
use crate::control::event::Event;
use crate::traffic::Traffic;

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: usize = 32;

/// Serves peers until the runtime stops.
pub async fn serve(listener: TcpListener, events: mpsc::Sender<Event>, traffic: Arc<Traffic>) {
    let service = PeerServer::new(PeerService { events })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let counting_service = CountRefusals {
        inner: service,
        traffic,
    };
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .concurrency_limit_per_connection(MAX_CALLS_PER_CONNECTION)
        .add_service(counting_service)
        .serve_with_incoming(incoming)
        .await;
    if let Err(error) = served {
        log::error!(error:% = error; "peer server stopped");
    }
}

#[derive(Debug, Clone)]
struct PeerService {
    events: mpsc::Sender<Event>,
}

impl PeerService {
    async fn call_control<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> Event,
    ) -> Result<T, Status> {
        let (reply, answer) = oneshot::channel();
        // Waiting for space in a full queue would accumulate calls; the peer repeats its call after a
        // second.
        self.events
            .try_send(event(reply))
            .map_err(|_full| Status::resource_exhausted("the control thread is behind"))?;
        answer
            .await
            .map_err(|_dropped| Status::unavailable("the control thread gave no answer"))
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        let request = Box::new(request.into_inner());
        let reply = self
            .call_control(|reply| Event::PeerHeartbeat { request, reply })
            .await??;
        Ok(Response::new(reply))
    }

    async fn register(
        &self,
        request: Request<RegisterRequest>,
    ) -> Result<Response<RegisterReply>, Status> {
        let request = request.into_inner();
        let reply = self
            .call_control(|reply| Event::PeerRegister { request, reply })
            .await??;
        Ok(Response::new(reply))
    }

    async fn resign(
        &self,
        request: Request<RegisterRequest>,
    ) -> Result<Response<RegisterReply>, Status> {
        let request = request.into_inner();
        let reply = self
            .call_control(|reply| Event::PeerResign { request, reply })
            .await??;
        Ok(Response::new(reply))
    }

    async fn get_config(
        &self,
        request: Request<GetConfigRequest>,
    ) -> Result<Response<GetConfigReply>, Status> {
        let at_least_version = request.into_inner().at_least_version;
        let config = self.call_control(Event::Config).await?;
        let config = config.filter(|record| record.version >= at_least_version);
        Ok(Response::new(GetConfigReply { config }))
    }

    async fn drain(&self, request: Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        let request = request.into_inner();
        let reply = self
            .call_control(|reply| Event::PeerDrain { request, reply })
            .await??;
        Ok(Response::new(reply))
    }
}

/// Service wrapper that counts refused calls by status, including calls whose message could not be
/// decoded.
#[derive(Debug, Clone)]
struct CountRefusals<S> {
    inner: S,
    traffic: Arc<Traffic>,
}

impl<S> NamedService for CountRefusals<S>
where
    S: NamedService,
{
    const NAME: &'static str = S::NAME;
}

impl<S> Service<HttpRequest<Body>> for CountRefusals<S>
where
    S: Service<HttpRequest<Body>, Response = HttpResponse<Body>, Error = Infallible>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse<Body>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<HttpResponse<Body>, Infallible>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest<Body>) -> Self::Future {
        let answer = self.inner.call(req);
        let traffic = Arc::clone(&self.traffic);
        async move {
            let response = answer.await?;
            if let Some(status) = Status::from_header_map(response.headers())
                && status.code() != Code::Ok
            {
                let name = format!("peer.refused.{:?}", status.code()).to_lowercase();
                traffic.counters.increment(&name);
            }
            Ok(response)
        }
        .boxed()
    }
}
