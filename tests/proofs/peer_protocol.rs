//! Tests both ends of the connection between entry and sidecar against a fake peer.

use crate::support::calls::{Answer, call};
use crate::support::cluster::{Cluster, ClusterPlan, SERVICE, TEAM};
use crate::support::run;
use compio::net::{TcpListener, TcpStream};
use http::Method;
use serde_json::json;
use wax_wire::{
    AttemptId, BodyChunk, CancelRequest, LoadReport, NotRunReason, PeerBody, PeerHello, PeerReader,
    PeerWriter, RequestHead, ResponseHead, split_stream,
};

/// Incarnation of the fake entry.
const INCARNATION: u64 = 77;

/// Fake entry on its connection to a real sidecar.
struct FakeEntry {
    reader: PeerReader,
    writer: PeerWriter,
}

impl FakeEntry {
    /// Starts a sidecar that connects to this entry alone, and exchanges the hello messages.
    async fn with_sidecar(cluster: &mut Cluster) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("binding must succeed");
        let address = listener
            .local_addr()
            .expect("binding must succeed")
            .to_string();
        cluster.start_upstream(9);
        cluster.start_sidecar_with_entry(9, &address);
        let (stream, _) = listener.accept().await.expect("the sidecar connects");
        let (reader, writer) = split_stream(stream);
        let mut entry = Self { reader, writer };
        let hello = entry.next().await;
        assert!(matches!(hello, PeerBody::Hello(_)), "{hello:?}");
        let hello = PeerHello {
            protocol: PeerHello::PROTOCOL,
            incarnation: INCARNATION,
            name: "played".into(),
            ..PeerHello::default()
        };
        entry.send(PeerBody::Hello(hello)).await;
        entry
    }

    async fn send(&mut self, body: PeerBody) {
        self.writer
            .write(body)
            .await
            .expect("the frame must be sent");
    }

    async fn next(&mut self) -> PeerBody {
        self.reader
            .read()
            .await
            .expect("the frame must be read")
            .expect("the connection must be open")
    }

    /// Reads the next frame that is neither a load report nor an acknowledgement of settings.
    async fn next_answer(&mut self) -> PeerBody {
        loop {
            match self.next().await {
                PeerBody::Load(_) | PeerBody::SettingsAck(_) => {}
                body => return body,
            }
        }
    }

    async fn request(&mut self, sequence: u64, service_ms: u32) {
        let header = |name: &str, value: String| wax_wire::HeaderField {
            name: name.to_owned(),
            value: value.into(),
        };
        let head = RequestHead {
            attempt: Some(attempt(sequence)),
            method: "POST".into(),
            path: "/played".into(),
            headers: vec![
                header("x-service-ms", service_ms.to_string()),
                header("idempotency-key", format!("played-{sequence}")),
            ],
            deadline_ms: 60_000,
            body_complete: true,
            ..RequestHead::default()
        };
        self.send(PeerBody::Request(head)).await;
    }
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId {
        incarnation: INCARNATION,
        sequence,
    }
}

fn expect_not_run(body: PeerBody, sequence: u64, reason: NotRunReason) {
    match body {
        PeerBody::NotRun(answer) => {
            assert_eq!(answer.attempt, Some(attempt(sequence)));
            assert_eq!(answer.reason(), reason);
        }
        other => panic!("expected a frame `NotRun`: {other:?}"),
    }
}

fn expect_response(body: &PeerBody, sequence: u64) {
    match body {
        PeerBody::Response(head) => assert_eq!(head.attempt, Some(attempt(sequence))),
        other => panic!("expected a frame `Response`: {other:?}"),
    }
}

fn one_entry() -> ClusterPlan {
    ClusterPlan {
        entries: 1,
        sidecars: 1,
        workers: 1,
        ..ClusterPlan::default()
    }
}

/// An entry that missed the leaving flag sends a request to a leaving sidecar while another request runs.
#[test]
fn a_leaving_sidecar_refuses_new_requests_and_finishes_running_ones() {
    run(async {
        let mut cluster = Cluster::start(one_entry()).await;
        let mut entry = FakeEntry::with_sidecar(&mut cluster).await;
        entry.request(1, 1_500).await;
        cluster.wait_executed(9, "played-1").await;
        cluster.signal("sidecar-9", libc::SIGTERM);
        loop {
            if let PeerBody::Load(LoadReport { leaving: true, .. }) = entry.next().await {
                break;
            }
        }
        entry.request(2, 1).await;
        expect_not_run(entry.next_answer().await, 2, NotRunReason::Leaving);
        // The request that ran at the time of SIGTERM gets its complete answer.
        expect_response(&entry.next_answer().await, 1);
        let mut bytes = 0;
        loop {
            match entry.next_answer().await {
                PeerBody::Chunk(chunk) if chunk.last => {
                    assert_eq!(chunk.total_bytes, bytes + chunk.data.len() as u64);
                    break;
                }
                PeerBody::Chunk(chunk) => bytes += chunk.data.len() as u64,
                other => panic!("expected a frame `Chunk`: {other:?}"),
            }
        }
        let record = cluster.record("upstream-9").await;
        assert_eq!(
            record["keys"].as_object().map(serde_json::Map::len),
            Some(1),
            "{record}"
        );
    });
}

#[test]
fn a_request_that_arrives_after_its_cancel_does_not_run() {
    run(async {
        let mut cluster = Cluster::start(one_entry()).await;
        let mut entry = FakeEntry::with_sidecar(&mut cluster).await;
        let cancel = CancelRequest {
            attempt: Some(attempt(5)),
        };
        entry.send(PeerBody::Cancel(cancel)).await;
        entry.request(5, 1).await;
        expect_not_run(entry.next_answer().await, 5, NotRunReason::Cancelled);
        entry.request(6, 1).await;
        expect_response(&entry.next_answer().await, 6);
        let record = cluster.record("upstream-9").await;
        assert!(record["keys"].get("played-5").is_none(), "{record}");
    });
}

#[test]
fn a_cancelled_queued_request_does_not_run() {
    run(async {
        let mut cluster = Cluster::start(one_entry()).await;
        let mut entry = FakeEntry::with_sidecar(&mut cluster).await;
        // Eight requests take all slots; the ninth is queued.
        for sequence in 1..=9 {
            entry.request(sequence, 400).await;
        }
        let cancel = CancelRequest {
            attempt: Some(attempt(9)),
        };
        entry.send(PeerBody::Cancel(cancel)).await;
        expect_not_run(entry.next_answer().await, 9, NotRunReason::Cancelled);
        for _ in 1..=8 {
            while !matches!(entry.next_answer().await, PeerBody::Chunk(chunk) if chunk.last) {}
        }
        let record = cluster.record("upstream-9").await;
        assert_eq!(record["most_running"], 8, "{record}");
        assert!(record["keys"].get("played-9").is_none(), "{record}");
    });
}

#[test]
fn a_repeated_request_frame_runs_once() {
    run(async {
        let mut cluster = Cluster::start(one_entry()).await;
        let mut entry = FakeEntry::with_sidecar(&mut cluster).await;
        entry.request(3, 200).await;
        entry.request(3, 200).await;
        expect_response(&entry.next_answer().await, 3);
        let record = cluster.record("upstream-9").await;
        assert_eq!(record["keys"]["played-3"], 1, "{record}");
    });
}

/// Fake sidecar of the service [`FAKE_SERVICE`] on its connection to a real entry.
struct FakeSidecar {
    reader: PeerReader,
    writer: PeerWriter,
}

const FAKE_SERVICE: &str = "played";

impl FakeSidecar {
    async fn connect(cluster: &Cluster) -> Self {
        let address = cluster.address("entry-1", "peers");
        let stream = TcpStream::connect(address)
            .await
            .expect("the connection must succeed");
        let (reader, writer) = split_stream(stream);
        let mut sidecar = Self { reader, writer };
        let hello = PeerHello {
            protocol: PeerHello::PROTOCOL,
            incarnation: 5,
            name: "played-sidecar".into(),
            failure_domain: "domain-1".into(),
            service: FAKE_SERVICE.into(),
            slots: 8,
        };
        sidecar.send(PeerBody::Hello(hello)).await;
        let load = LoadReport {
            upstream_up: true,
            ..LoadReport::default()
        };
        sidecar.send(PeerBody::Load(load)).await;
        sidecar
    }

    async fn send(&mut self, body: PeerBody) {
        self.writer
            .write(body)
            .await
            .expect("the frame must be sent");
    }

    async fn next_request(&mut self) -> AttemptId {
        loop {
            let body = self
                .reader
                .read()
                .await
                .expect("the frame must be read")
                .expect("the connection must be open");
            if let PeerBody::Request(head) = body {
                return head.attempt.expect("a request must have an attempt id");
            }
        }
    }

    async fn answer(&mut self, id: AttemptId, text: &'static str, total_bytes: u64) {
        let head = ResponseHead {
            attempt: Some(id),
            status: 200,
            headers: Vec::new(),
        };
        self.send(PeerBody::Response(head)).await;
        let chunk = BodyChunk {
            attempt: Some(id),
            data: text.into(),
            last: true,
            total_bytes,
        };
        self.send(PeerBody::Chunk(chunk)).await;
    }
}

/// Declares the service of the fake sidecar in the settings.
async fn declare_fake_service(cluster: &Cluster) {
    let url = format!("{}/v1/settings", cluster.operators(1));
    let edit = json!({ "path": "/barrages/played", "key": "weight", "value": 100 });
    let body = json!({ "author": "test", "edits": [edit] });
    let answer = crate::support::calls::post_json(&url, &body)
        .await
        .expect("the call must be answered");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn send_call(
    cluster: &Cluster,
    method: Method,
    path: &str,
) -> compio::runtime::JoinHandle<Result<Answer, String>> {
    let url = format!("{}/v1/call/{FAKE_SERVICE}{path}", cluster.callers(1));
    compio::runtime::spawn(async move {
        let headers = [("waxwing-team", TEAM), ("waxwing-deadline-ms", "15000")];
        call(method, &url, &headers, Vec::new()).await
    })
}

#[test]
fn reordered_and_repeated_answers_reach_their_own_requests() {
    run(async {
        let cluster = Cluster::start(one_entry()).await;
        declare_fake_service(&cluster).await;
        let mut sidecar = FakeSidecar::connect(&cluster).await;
        let first = send_call(&cluster, Method::POST, "/first");
        let first_id = sidecar.next_request().await;
        let second = send_call(&cluster, Method::POST, "/second");
        let second_id = sidecar.next_request().await;
        sidecar.answer(second_id, "second", 6).await;
        sidecar.answer(second_id, "again!", 6).await;
        sidecar.answer(first_id, "first", 5).await;
        let first = first
            .await
            .expect("the task must not panic")
            .expect("the call must be answered");
        let second = second
            .await
            .expect("the task must not panic")
            .expect("the call must be answered");
        assert_eq!(
            (first.text().as_str(), second.text().as_str()),
            ("first", "second")
        );
    });
}

#[test]
fn an_answer_for_another_incarnation_is_dropped() {
    run(async {
        let cluster = Cluster::start(one_entry()).await;
        declare_fake_service(&cluster).await;
        let mut sidecar = FakeSidecar::connect(&cluster).await;
        let pending = send_call(&cluster, Method::POST, "/now");
        let id = sidecar.next_request().await;
        let other_attempt = AttemptId {
            incarnation: id.incarnation ^ 1,
            sequence: id.sequence,
        };
        sidecar.answer(other_attempt, "of another run", 14).await;
        sidecar.answer(id, "mine", 4).await;
        let answer = pending
            .await
            .expect("the task must not panic")
            .expect("the call must be answered");
        assert_eq!(answer.text(), "mine");
    });
}

#[test]
fn an_answer_of_the_wrong_length_is_not_delivered() {
    run(async {
        let cluster = Cluster::start(one_entry()).await;
        declare_fake_service(&cluster).await;
        let mut sidecar = FakeSidecar::connect(&cluster).await;
        let pending = send_call(&cluster, Method::POST, "/cut");
        let id = sidecar.next_request().await;
        sidecar.answer(id, "half", 8).await;
        let answer = pending
            .await
            .expect("the task must not panic")
            .expect("the call must get a final answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
    });
}

#[test]
fn a_lost_sidecar_gives_an_unknown_outcome_and_other_services_continue() {
    run(async {
        let cluster = Cluster::start(one_entry()).await;
        declare_fake_service(&cluster).await;
        let mut sidecar = FakeSidecar::connect(&cluster).await;
        let pending = send_call(&cluster, Method::POST, "/lost");
        sidecar.next_request().await;
        drop(sidecar);
        let answer = pending
            .await
            .expect("the task must not panic")
            .expect("the call must get a final answer");
        assert_eq!((answer.status, answer.outcome.as_str()), (502, "unknown"));
        let other = cluster
            .request(1, "/other", &[])
            .await
            .expect("the call must be answered");
        assert_eq!((other.outcome.as_str(), SERVICE), ("ran", SERVICE));
    });
}

/// A sidecar sends the entry a version of the settings that is older than the entry's own. The entry must keep
/// the newer version.
#[test]
fn stale_settings_do_not_replace_newer_ones() {
    run(async {
        let cluster = Cluster::start(one_entry()).await;
        declare_fake_service(&cluster).await;
        let mut sidecar = FakeSidecar::connect(&cluster).await;
        let status = || async {
            let url = format!("{}/v1/status", cluster.operators(1));
            crate::support::calls::get_json(&url).await
        };
        let before =
            status().await.expect("the entry must report its status")["settings"]["version"]
                .as_u64();
        let old = json!({ "version": 1, "nodes": {} });
        let push = wax_wire::SettingsPush {
            version: 1,
            tree: old.to_string().into_bytes().into(),
            delta: Default::default(),
        };
        sidecar.send(PeerBody::Settings(push)).await;
        // The answer follows the push on the same connection, so once it arrives the entry has processed the push.
        let pending = send_call(&cluster, Method::POST, "/after");
        let id = sidecar.next_request().await;
        sidecar.answer(id, "ok", 2).await;
        assert_eq!(
            pending
                .await
                .expect("the task must not panic")
                .expect("the call must be answered")
                .status,
            200
        );
        let after =
            status().await.expect("the entry must report its status")["settings"]["version"]
                .as_u64();
        assert_eq!(before, after);
    });
}
