//! Peers that send invalid messages: each message is dropped and counted, and the node keeps running.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tealsaddle_schema::peer::peer_client::PeerClient;
use tealsaddle_schema::peer::peer_server::{Peer, PeerServer};
use tealsaddle_schema::peer::{
    DrainReply, DrainRequest, GetConfigReply, GetConfigRequest, HeartbeatReply, HeartbeatRequest,
    PeerInfo, RegisterReply, RegisterRequest, RoutingTable, TableEntry, TableVersion,
};
use tealsaddle_schema::record::{ConfigRecord, ProcessId};
use tealsaddle_testkit::client::wait_until;
use tealsaddle_testkit::process::free_address;
use tonic::{Code, Response, Status};

use crate::cluster::{Cluster, ZONE, open_engines};

fn process(vm: &str) -> ProcessId {
    ProcessId {
        vm: vm.to_owned(),
        incarnation: "1".to_owned(),
    }
}

fn heartbeat(zone: &str) -> HeartbeatRequest {
    HeartbeatRequest {
        process: Some(process("vm-x")),
        zone: zone.to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
        caller_address: "127.0.0.1:9".to_owned(),
        ..HeartbeatRequest::default()
    }
}

/// Sends raw bytes as the message of a heartbeat call.
async fn send_raw(address: SocketAddr, message: &[u8]) {
    let client = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let mut body = vec![0];
    body.extend_from_slice(&(message.len() as u32).to_be_bytes());
    body.extend_from_slice(message);
    let request = Request::post(format!(
        "http://{address}/tealsaddle.peer.v1.Peer/Heartbeat"
    ))
    .header("content-type", "application/grpc")
    .header("te", "trailers")
    .body(Full::new(Bytes::from(body)))
    .expect("a request");
    // The node may answer or close the connection; the test only checks that it keeps running.
    drop(client.request(request).await);
}

/// Guards against an invalid message that crashes the node or changes its state.
#[tokio::test]
async fn invalid_messages_are_counted_and_dropped() {
    let cluster = Cluster::start_in_service("peers-bad", 1, 1).await;
    let address = cluster.nodes[0].config.peer;
    send_raw(address, &[0xff; 64]).await;
    send_raw(address, &vec![b'x'; 3 << 20]).await;
    let client = PeerClient::connect(format!("http://{address}")).await;
    let mut client = client.expect("a connection");
    let malformed = [
        HeartbeatRequest::default(),
        HeartbeatRequest {
            process: Some(process("")),
            ..heartbeat(ZONE)
        },
        HeartbeatRequest {
            peer_address: "nowhere".to_owned(),
            ..heartbeat(ZONE)
        },
        HeartbeatRequest {
            caller_address: String::new(),
            ..heartbeat(ZONE)
        },
    ];
    for request in malformed {
        let status = client.heartbeat(request).await.expect_err("a refusal");
        assert_eq!(status.code(), Code::InvalidArgument);
    }
    let request = RegisterRequest {
        process: Some(process("vm-x")),
        zone: "pest-hall".to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
    };
    let status = client
        .register(request.clone())
        .await
        .expect_err("a refusal");
    assert_eq!(status.code(), Code::FailedPrecondition);
    let status = client.resign(request).await.expect_err("a refusal");
    assert_eq!(status.code(), Code::FailedPrecondition);
    // A process on a VM that is not in the VM list never gets an entry in the router list.
    let request = RegisterRequest {
        process: Some(process("vm-x")),
        zone: ZONE.to_owned(),
        peer_address: "127.0.0.1:9".to_owned(),
    };
    for _ in 0..3 {
        let reply = client.register(request.clone()).await.expect("an answer");
        assert!(!reply.into_inner().accepted);
    }
    assert!(cluster.counter(0, "peer.refused.invalidargument").await >= 4);
    assert!(cluster.counter(0, "peer.refused.failedprecondition").await >= 2);
    let refused = async |code: &str| cluster.counter(0, &format!("peer.refused.{code}")).await;
    assert!(
        refused("internal").await >= 1,
        "a message that cannot be decoded"
    );
    assert!(
        refused("outofrange").await >= 1,
        "a message that is too long"
    );
    let status = cluster.status(0).await;
    assert_eq!(status["routers"].as_array().expect("routers").len(), 1);
    assert_eq!(open_engines(&status), ["e0"]);
}

/// A peer that answers every heartbeat with one reply and every pull with one configuration, and refuses
/// other calls.
#[derive(Debug)]
struct FakePeer {
    reply: HeartbeatReply,
    config: Option<ConfigRecord>,
}

#[tonic::async_trait]
impl Peer for FakePeer {
    async fn heartbeat(
        &self,
        _: tonic::Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatReply>, Status> {
        Ok(Response::new(self.reply.clone()))
    }

    async fn register(
        &self,
        _: tonic::Request<RegisterRequest>,
    ) -> Result<Response<RegisterReply>, Status> {
        Err(Status::unavailable("fake"))
    }

    async fn resign(
        &self,
        _: tonic::Request<RegisterRequest>,
    ) -> Result<Response<RegisterReply>, Status> {
        Err(Status::unavailable("fake"))
    }

    async fn get_config(
        &self,
        _: tonic::Request<GetConfigRequest>,
    ) -> Result<Response<GetConfigReply>, Status> {
        let config = self.config.clone();
        Ok(Response::new(GetConfigReply { config }))
    }

    async fn drain(&self, _: tonic::Request<DrainRequest>) -> Result<Response<DrainReply>, Status> {
        Err(Status::unavailable("fake"))
    }
}

/// Guards against replies of peers that put wrong state in force: a routing table of another zone, a
/// malformed or older table, an invalid configuration, or a holder of an older epoch.
#[tokio::test]
async fn invalid_replies_are_counted_and_dropped() {
    let mut cluster = Cluster::start_in_service("peers-replies", 1, 1).await;
    let table = |zone: &str, sequence: u64, role: &str| RoutingTable {
        version: Some(TableVersion {
            epoch: sequence,
            sequence,
        }),
        zone: zone.to_owned(),
        entries: vec![TableEntry {
            engine: "e9".to_owned(),
            role: role.to_owned(),
        }],
    };
    let reply = |zone: &str, table| HeartbeatReply {
        process: Some(process("vm-fake")),
        zone: zone.to_owned(),
        table: Some(table),
        peers: vec![PeerInfo::default()],
        config_version: 99,
        ..HeartbeatReply::default()
    };
    let invalid = ConfigRecord {
        version: 99,
        yaml: "zones: [{}]".to_owned(),
        ..ConfigRecord::default()
    };
    let old_holder = HeartbeatReply {
        holder_epoch: 1,
        drained: vec!["e0".to_owned()],
        ..reply(ZONE, table(ZONE, 0, "mixed"))
    };
    let replies = [
        reply("pest-hall", table("pest-hall", 90, "mixed")),
        reply(ZONE, table("pest-hall", 91, "mixed")),
        reply(ZONE, table(ZONE, 92, "cook")),
    ];
    let mut seeds = Vec::new();
    let serve = |address, reply| {
        let config = Some(invalid.clone());
        let peer = FakePeer { reply, config };
        let server = tonic::transport::Server::builder().add_service(PeerServer::new(peer));
        tokio::spawn(async move { server.serve(address).await });
    };
    for reply in replies {
        let address = free_address();
        seeds.push(address);
        serve(address, reply);
    }
    let old_address = free_address();
    seeds.push(old_address);
    // The takeover by a second node raises the epoch, so that the epoch of the fake holder is older.
    let vm = cluster.nodes[0].config.vm.clone();
    cluster.nodes.clear();
    cluster.set_vm_state(&vm, tealsaddle_testkit::platform::faults::VmState::Gone);
    let mut node = cluster.node_config(1);
    node.seed_peers = seeds;
    cluster.set_vm_state(
        &node.vm,
        tealsaddle_testkit::platform::faults::VmState::Live,
    );
    cluster
        .nodes
        .push(crate::support::spawn_node("peers-replies", node));
    cluster.wait_until_in_service(1).await;
    // The fake former holder answers only after the node has the newer epoch.
    serve(old_address, old_holder);
    for name in [
        "peer.dropped.wrong_zone",
        "peer.dropped.malformed",
        "peer.dropped.old_table",
        "peer.dropped.old_epoch",
        "config.invalid_record",
    ] {
        wait_until(|| async { cluster.counter(0, name).await > 0 }).await;
    }
    let status = cluster.status(0).await;
    assert_eq!(status["config_version"], 1, "{status}");
    assert_eq!(open_engines(&status), ["e0"]);
    assert_eq!(status["engines"][0]["is_withdrawn"], false);
    assert_eq!(status["is_holder"], true);
}
