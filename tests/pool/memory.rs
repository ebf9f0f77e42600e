//! Clients that hold the memory and the descriptors of a process: bodies that stop short of their end, idle
//! connections, headers without an end, answers that nobody reads. The limits of the processes are lowered, so that
//! a small crowd exceeds them. Figures that depend on speed are not checked.

use crate::calls::{call, post_json};
use crate::site::{Site, SiteProcess, job, name, run, wait_for};
use futures_util::future::{Either, select};
use http::Method;
use rustix::net::sockopt;
use serde_json::json;
use std::fmt::Write as _;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use wax_wire::MAX_FRAME_BYTES;

/// Memory of the machine of each process, mebibytes.
const MEMORY_MB: u32 = 64;
/// Descriptors that each process may open.
const DESCRIPTORS: u32 = 1_024;
/// Descriptors of that limit that a crowd must leave free, for files and for the process's own connections.
const FREE_DESCRIPTORS: usize = 200;
/// Number of connections that send large bodies.
const BODY_CROWD: usize = 200;
/// Number of connections that send none; more than the process may open.
const CONNECTION_CROWD: usize = 1_500;
/// Maximum size of the body of a job, and of a check-in.
const MAX_JOB_BYTES: usize = 262_144;
const MAX_CHECK_IN_BYTES: usize = 1 << 20;
const LARGE_CHUNK_BYTES: usize = 64 << 10;
/// Number of chunks of one byte in a body.
const TINY_CHUNKS: usize = 20_000;
/// Bytes that each connection sends in turn when bodies are sent piece by piece.
const PIECE_BYTES: usize = 4 << 10;
/// Time after which a process that neither reads nor closes connections fails the test.
const SEND_TIMEOUT: Duration = Duration::from_secs(90);
/// Receive buffer of a client that does not read its answers.
const UNREAD_BUFFER_BYTES: usize = 4_096;
/// Number of clients that connect again as soon as they are answered or closed.
const RETURNING_CROWD: usize = 300;
/// Number of times that each client of such a crowd comes back, on average.
const RETURNS: usize = 4;
/// Time for which a client waits for its connection to be accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(5);
/// Number of the platform's checks that are sent beside a crowd.
const CHECKS: usize = 20;
const PARTIAL_BODY_BYTES: usize = 12 << 10;
/// Number of the first job of a crowd whose clients name jobs of their own.
const CROWD_JOBS: u64 = 0x10_0000;
/// Path of the jobs of the crowd; no such job is ever complete.
const CROWD_JOB: &str = "/g/00000000000000ff";
const CROWD_CHECK_IN: &str = "/v1/instances/i-crowd/heartbeat";

/// Held by the test whose crowd is open, so that one crowd at a time loads the machine.
static TURN: Mutex<()> = Mutex::new(());

/// Listener that the crowd connects to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Callers,
    Readiness,
    Metrics,
    CheckIns,
    Peers,
}

impl Target {
    fn post_path(self) -> &'static str {
        match self {
            Self::Callers => CROWD_JOB,
            Self::Readiness => "/v1/ready",
            Self::Metrics => "/metrics",
            Self::CheckIns => CROWD_CHECK_IN,
            Self::Peers => "/",
        }
    }

    fn max_body_bytes(self) -> usize {
        match self {
            Self::CheckIns => MAX_CHECK_IN_BYTES,
            Self::Callers | Self::Readiness | Self::Metrics | Self::Peers => MAX_JOB_BYTES,
        }
    }
}

/// What each connection of the crowd sends before it falls silent and stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Message {
    /// Body with a length, one byte short of its end.
    WholeBody,
    /// Body of the largest size in large chunks, one byte short of its end.
    LargeChunks,
    /// Body in chunks of one byte, without its end.
    TinyChunks,
    /// Header of almost the largest size, without its end.
    EndlessHeader,
    /// Many requests, whose answers the client does not read.
    UnreadAnswers,
    /// Frame of the largest size on a link, one byte short of its end.
    LargeFrame,
    /// Complete job of the largest size, in as many steps as have room in it.
    ManySteps,
    /// Complete job of almost the largest size, which the store does not take.
    LargeJob,
    /// Complete job of about the size that a row of the store holds.
    RowSizedJob,
    /// Query for a job that does not exist, which is answered from the store.
    Query,
    /// Part of the body of a job.
    PartialBody,
    /// Complete check-in of the largest size, with as many labels as have room in it.
    ManyLabels,
    /// Nothing.
    Nothing,
}

impl Message {
    fn bytes(self, target: Target) -> Vec<u8> {
        let path = target.post_path();
        let start = format!("POST {path} HTTP/1.1\r\nhost: h.example\r\n");
        let size = target.max_body_bytes();
        match self {
            Self::Nothing => Vec::new(),
            Self::ManySteps => {
                let steps = "{},".repeat((size - 32) / 3);
                let body = format!("{{\"phases\":[{steps}{{}}]}}");
                let length = body.len();
                format!("{start}content-length: {length}\r\n\r\n{body}").into_bytes()
            }
            Self::LargeJob => valid_job(&start, 250, 900),
            Self::RowSizedJob => valid_job(&start, 250, 170),
            Self::Query => format!("GET {path} HTTP/1.1\r\nhost: h.example\r\n\r\n").into_bytes(),
            Self::PartialBody => {
                let part = " ".repeat(PARTIAL_BODY_BYTES);
                format!("{start}content-length: {size}\r\n\r\n{part}").into_bytes()
            }
            Self::ManyLabels => {
                let labels = "\"\",".repeat((size - 512) / 3);
                let body = format!(
                    "{{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"version\":\"v\",\
                     \"slots\":1,\"state\":\"ready\",\"capacity\":{{\"cpu\":1,\"memMb\":1,\"gpu\":0}},\
                     \"labels\":[{labels}\"\"],\"sequence\":1}}"
                );
                let length = body.len();
                format!("{start}content-length: {length}\r\n\r\n{body}").into_bytes()
            }
            Self::LargeFrame => {
                let length =
                    u32::try_from(MAX_FRAME_BYTES).expect("the length field has four bytes");
                let mut frame = length.to_be_bytes().to_vec();
                frame.resize(frame.len() + MAX_FRAME_BYTES - 1, 0);
                frame
            }
            Self::EndlessHeader => format!("{start}x: {}", "y".repeat(32_000)).into_bytes(),
            Self::UnreadAnswers => {
                let path = match target {
                    Target::Callers => "/g/",
                    other => other.post_path(),
                };
                format!("GET {path} HTTP/1.1\r\nhost: h.example\r\n\r\n")
                    .repeat(4_000)
                    .into_bytes()
            }
            Self::WholeBody => {
                let body = " ".repeat(size - 1);
                format!("{start}content-length: {size}\r\n\r\n{body}").into_bytes()
            }
            Self::LargeChunks => {
                let mut text = format!("{start}transfer-encoding: chunked\r\n\r\n");
                let chunk = " ".repeat(LARGE_CHUNK_BYTES);
                for _ in 0..size / LARGE_CHUNK_BYTES {
                    // Writing to a string cannot fail.
                    let _ = write!(text, "{LARGE_CHUNK_BYTES:x}\r\n{chunk}\r\n");
                }
                // Takes away the last byte of the last chunk and its line end.
                text.truncate(text.len() - 3);
                text.into_bytes()
            }
            Self::TinyChunks => {
                let chunks = "1\r\n \r\n".repeat(TINY_CHUNKS);
                format!("{start}transfer-encoding: chunked\r\n\r\n{chunks}").into_bytes()
            }
        }
    }
}

/// Returns a request with a valid job of `steps` steps, whose labels have `label_bytes` bytes each.
fn valid_job(start: &str, steps: usize, label_bytes: usize) -> Vec<u8> {
    let label = "x".repeat(label_bytes);
    let step = format!("{{\"count\":1,\"cpu\":500,\"memMb\":64,\"requirements\":\"{label}\"}}");
    let body = format!("{{\"phases\":[{}]}}", vec![step; steps].join(","));
    let length = body.len();
    format!("{start}content-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Connection of the crowd. It is closed once the process has closed it.
struct Caller {
    stream: Option<TcpStream>,
    sent: usize,
}

impl Caller {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the listener must accept connections");
        sockopt::set_socket_recv_buffer_size(&stream, UNREAD_BUFFER_BYTES)
            .expect("the buffer must be set");
        stream
            .set_nonblocking(true)
            .expect("the socket must become non-blocking");
        Self {
            stream: Some(stream),
            sent: 0,
        }
    }

    /// Connects if the listener accepts the connection soon.
    fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
        stream.set_nonblocking(true).ok()?;
        Some(Self {
            stream: Some(stream),
            sent: 0,
        })
    }

    /// Returns whether a part of an answer has arrived. Notices that the process has closed the connection.
    fn has_answer(&mut self) -> bool {
        let Some(stream) = &mut self.stream else {
            return false;
        };
        match stream.read(&mut [0; 4_096]) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Ok(size) if size > 0 => true,
            Ok(_) | Err(_) => {
                self.stream = None;
                false
            }
        }
    }

    /// Sends up to `limit` bytes of the message. Returns whether nothing is left to send.
    fn send(&mut self, message: &[u8], limit: usize) -> bool {
        let Some(stream) = &mut self.stream else {
            return true;
        };
        let end = message.len().min(self.sent + limit);
        while self.sent < end {
            match stream.write(&message[self.sent..end]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(_) => {
                    self.stream = None;
                    return true;
                }
            }
        }
        self.sent == message.len()
    }

    /// Notices that the process has closed the connection.
    fn read(&mut self) {
        let Some(stream) = &mut self.stream else {
            return;
        };
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer) {
            Ok(0) => self.stream = None,
            Err(error) if error.kind() != ErrorKind::WouldBlock => self.stream = None,
            Ok(_) | Err(_) => {}
        }
    }
}

/// Process under attack, as the kernel sees it.
struct Observed {
    pid: u32,
    /// Listener that the crowd connects to, as `/proc/net/tcp` writes it.
    listener: String,
    /// Highest number of open descriptors that was seen.
    max_descriptors: usize,
    /// Highest sum that was seen of resident memory and of bytes received from the crowd and not read, kibibytes.
    max_kib: usize,
}

/// Bytes of the crowd that wait in the kernel.
#[derive(Debug, Default, PartialEq, Eq)]
struct Queued {
    /// Bytes that the process has received and not read.
    unread: usize,
    /// Bytes that the process has not received.
    unsent: usize,
    /// Connections that the process has not accepted.
    unaccepted: usize,
}

impl Observed {
    fn new(process: &SiteProcess, address: SocketAddr) -> Self {
        let SocketAddr::V4(address) = address else {
            unreachable!("sites have IPv4 addresses");
        };
        let ip = u32::from_ne_bytes(address.ip().octets());
        Self {
            pid: process.pid(),
            listener: format!("{ip:08X}:{:04X}", address.port()),
            max_descriptors: 0,
            max_kib: 0,
        }
    }

    fn queued(&self) -> Queued {
        const LISTEN: &str = "0A";
        let mut queued = Queued::default();
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table must be readable");
        for line in table.lines().skip(1) {
            let mut fields = line.split_whitespace().skip(1);
            let mut field = || fields.next().expect("a socket must have all fields");
            let (local, remote, state, queues) = (field(), field(), field(), field());
            let (unsent, unread) = queues.split_once(':').expect("a socket must have queues");
            let size = |hex| usize::from_str_radix(hex, 16).expect("a size must be a number");
            if local == self.listener && state == LISTEN {
                queued.unaccepted = size(unread);
            } else if local == self.listener {
                queued.unread += size(unread);
            } else if remote == self.listener {
                queued.unsent += size(unsent);
            }
        }
        queued
    }

    fn look(&mut self) -> Queued {
        let folder = format!("/proc/{}/fd", self.pid);
        let count = std::fs::read_dir(folder).map_or(0, Iterator::count);
        self.max_descriptors = self.max_descriptors.max(count);
        let queued = self.queued();
        let with_unread = self.status_kib("VmRSS:") + queued.unread / 1_024;
        self.max_kib = self.max_kib.max(with_unread).max(self.status_kib("VmHWM:"));
        queued
    }

    /// Returns a figure of the process's status.
    fn status_kib(&self, key: &str) -> usize {
        let path = format!("/proc/{}/status", self.pid);
        let status = std::fs::read_to_string(path).expect("the process must live");
        let mut lines = status.lines();
        let line = lines.find_map(|line| line.strip_prefix(key));
        let figure = line.expect("the process must not be a zombie").trim();
        let figure = figure.trim_end_matches("kB").trim();
        figure.parse().expect("the figure must be a number")
    }
}

/// Returns once an ordinary request is answered; `number` tells the requests of a test apart.
async fn ordinary_request_is_answered(site: &Site, target: Target, number: u64) {
    match target {
        Target::Callers => site.submit(&name(number), &job(1, 1, 50)).await,
        Target::Peers => {
            site.submit(&name(number), &job(1, 1, 50)).await;
            site.wait_state(&name(number), "completed").await;
        }
        Target::Readiness => site.wait_ready(0).await,
        Target::Metrics => {
            let url = format!("http://{}/metrics", site.fronts[0].metrics);
            wait_for("the metrics", || async {
                let answer = call(Method::GET, &url, &[], Vec::new()).await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
        Target::CheckIns => {
            let id = site.worker_id(0);
            let url = format!(
                "http://{}/v1/instances/{id}/heartbeat",
                site.vms[0].check_ins
            );
            let report = site.worker_report(0).await;
            wait_for("a check-in to be answered", || async {
                let answer = post_json(&url, &report).await.ok()?;
                (answer.status == 200).then_some(())
            })
            .await;
        }
    }
}

/// Sends requests of the platform, of which each must be answered, whatever the answer is.
async fn each_check_is_answered(site: &Site, target: Target) {
    let front = &site.fronts[0];
    let url = match target {
        Target::Readiness => format!("http://{}/v1/ready", front.readiness),
        Target::Metrics => format!("http://{}/metrics", front.metrics),
        other => unreachable!("{other:?} is no target of the platform's checks"),
    };
    for number in 0..CHECKS {
        let answer = call(Method::GET, &url, &[], Vec::new()).await;
        assert!(answer.is_ok(), "check {number} of {target:?}: {answer:?}");
    }
}

/// A crowd sends a message each, `piece` bytes in turn, and stays open.
async fn a_process_outlives_a_crowd(
    test: &str,
    target: Target,
    (callers, message, piece): (usize, Message, usize),
) {
    let vms = usize::from(matches!(target, Target::CheckIns | Target::Peers));
    let mut site = Site::start(test, 1, vms).await;
    site.limit_processes(MEMORY_MB, DESCRIPTORS).await;
    let address = match target {
        Target::Callers => site.fronts[0].callers,
        Target::Readiness => site.fronts[0].readiness,
        Target::Metrics => site.fronts[0].metrics,
        Target::CheckIns => site.vms[0].check_ins,
        Target::Peers => site.fronts[0].peers,
    };
    ordinary_request_is_answered(&site, target, 1).await;
    let process = match target {
        Target::CheckIns => site.vms[0].agent.as_ref(),
        _ => site.fronts[0].process.as_ref(),
    };
    let mut observed = Observed::new(process.expect("the process must run"), address);
    let bytes = message.bytes(target);
    let mut crowd: Vec<Caller> = (0..callers).map(|_| Caller::connect(address)).collect();
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < SEND_TIMEOUT,
            "the process neither reads nor closes connections"
        );
        let mut is_sent = true;
        for caller in &mut crowd {
            is_sent &= caller.send(&bytes, piece);
            if message != Message::UnreadAnswers {
                caller.read();
            }
        }
        let queued = observed.look();
        // A process need not read further requests while its answers are not read.
        if message == Message::UnreadAnswers || is_sent && queued == Queued::default() {
            break;
        }
        compio::time::sleep(Duration::from_millis(1)).await;
    }
    ordinary_request_is_answered(&site, target, 2).await;
    observed.look();
    let max_kib = observed.max_kib;
    let open = crowd.iter().filter(|caller| caller.stream.is_some());
    println!(
        "{test}: at most {max_kib} KiB, {} descriptors, {} of {callers} connections open",
        observed.max_descriptors,
        open.count()
    );
    assert!(
        max_kib <= MEMORY_MB as usize * 1_024,
        "the process took {max_kib} KiB of {MEMORY_MB} MiB"
    );
    let max_descriptors = DESCRIPTORS as usize - FREE_DESCRIPTORS;
    assert!(
        observed.max_descriptors <= max_descriptors,
        "the process opened {} descriptors of {DESCRIPTORS}",
        observed.max_descriptors
    );
    drop(crowd);
    ordinary_request_is_answered(&site, target, 3).await;
}

/// A crowd of which each client connects and sends its message again once it is answered or closed.
struct ReturningCrowd {
    address: SocketAddr,
    /// Message of each client: all name jobs of their own.
    messages: Vec<Vec<u8>>,
    callers: Vec<Option<Caller>>,
    /// Number of times that a client was answered or closed.
    returns: usize,
    observed: Observed,
}

impl ReturningCrowd {
    fn new(site: &Site, callers: usize, message: Message) -> Self {
        let address = site.fronts[0].callers;
        let process = site.fronts[0].process.as_ref();
        let message = message.bytes(Target::Callers);
        let text = String::from_utf8(message).expect("the message must be text");
        let own_job = |number| text.replacen(CROWD_JOB, &format!("/g/{:016x}", number), 1);
        let messages = (CROWD_JOBS..).take(callers).map(own_job);
        let messages = messages.map(String::into_bytes).collect();
        Self {
            address,
            messages,
            callers: (0..callers).map(|_| None).collect(),
            returns: 0,
            observed: Observed::new(process.expect("the process must run"), address),
        }
    }

    /// Lets each client act once.
    fn step(&mut self) {
        for (slot, message) in self.callers.iter_mut().zip(&self.messages) {
            let Some(caller) = slot else {
                *slot = Caller::try_connect(self.address);
                continue;
            };
            caller.send(message, usize::MAX >> 1);
            if caller.has_answer() || caller.stream.is_none() {
                self.returns += 1;
                *slot = None;
            }
        }
        self.observed.look();
    }

    /// Keeps the crowd active until its clients have returned [`RETURNS`] times on average, and at
    /// least until `until` is done.
    async fn act_until(&mut self, until: impl Future<Output = ()>) {
        let mut until = Box::pin(until);
        let min_returns = self.callers.len() * RETURNS;
        let mut is_done = false;
        while !is_done || self.returns < min_returns {
            self.step();
            let pause = compio::time::sleep(Duration::from_millis(1));
            if is_done {
                pause.await;
            } else if let Either::Left(((), _)) = select(&mut until, Box::pin(pause)).await {
                is_done = true;
            }
        }
    }

    fn check_memory(&self, test: &str) {
        let max_kib = self.observed.max_kib;
        println!(
            "{test}: at most {max_kib} KiB, {} descriptors, {} returns",
            self.observed.max_descriptors, self.returns
        );
        assert!(
            max_kib <= MEMORY_MB as usize * 1_024,
            "the process took {max_kib} KiB of {MEMORY_MB} MiB"
        );
    }
}

/// The store answers `store_delay_ms` late while a crowd returns again and again, and ordinary requests
/// are sent beside it.
async fn a_front_outlives_a_returning_crowd(
    test: &str,
    (callers, message, store_delay_ms): (usize, Message, u64),
    beside: &[Target],
) {
    let mut site = Site::start(test, 1, 1).await;
    site.limit_processes(MEMORY_MB, DESCRIPTORS).await;
    ordinary_request_is_answered(&site, Target::Callers, 1).await;
    site.set_store_faults(json!({ "delay_ms": store_delay_ms }))
        .await;
    let mut crowd = ReturningCrowd::new(&site, callers, message);
    crowd
        .act_until(async {
            for target in beside {
                match target {
                    Target::Callers => ordinary_request_is_answered(&site, *target, 2).await,
                    _ => each_check_is_answered(&site, *target).await,
                }
            }
        })
        .await;
    crowd.callers.clear();
    site.set_store_faults(json!({})).await;
    ordinary_request_is_answered(&site, Target::Peers, 100).await;
    crowd.observed.look();
    crowd.check_memory(test);
}

macro_rules! returning_crowd_tests {
    ($($name:ident: $crowd:expr, $beside:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
                run(a_front_outlives_a_returning_crowd(stringify!($name), $crowd, &$beside));
            }
        )*
    };
}

returning_crowd_tests! {
    a_front_outlives_large_jobs_while_the_store_is_slow: (60, Message::LargeJob, 3_000), [];
    a_front_outlives_row_sized_jobs_while_the_store_is_slow: (120, Message::RowSizedJob, 3_000), [];
    callers_are_answered_beside_a_crowd_that_waits_for_the_store:
        (RETURNING_CROWD, Message::Query, 1_000), [Target::Callers, Target::Readiness, Target::Metrics];
    callers_are_answered_beside_a_crowd_of_partial_bodies:
        (1_000, Message::PartialBody, 0), [Target::Callers, Target::Readiness, Target::Metrics];
}

macro_rules! crowd_tests {
    ($($name:ident: $target:ident, $crowd:expr;)*) => {
        $(
            #[test]
            fn $name() {
                // A test that has failed leaves nothing behind that the next one uses.
                let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
                run(a_process_outlives_a_crowd(stringify!($name), Target::$target, $crowd));
            }
        )*
    };
}

crowd_tests! {
    a_front_outlives_whole_bodies_one_byte_short: Callers, (BODY_CROWD, Message::WholeBody, usize::MAX >> 1);
    a_front_outlives_bodies_sent_piece_by_piece: Callers, (BODY_CROWD, Message::WholeBody, PIECE_BYTES);
    a_front_outlives_bodies_in_large_chunks: Callers, (BODY_CROWD, Message::LargeChunks, usize::MAX >> 1);
    a_front_outlives_bodies_in_tiny_chunks: Callers, (BODY_CROWD, Message::TinyChunks, usize::MAX >> 1);
    a_front_outlives_tiny_chunks_sent_piece_by_piece: Callers, (BODY_CROWD, Message::TinyChunks, PIECE_BYTES);
    a_front_outlives_idle_connections: Callers, (CONNECTION_CROWD, Message::Nothing, PIECE_BYTES);
    a_front_outlives_endless_headers: Callers, (CONNECTION_CROWD, Message::EndlessHeader, PIECE_BYTES);
    a_front_outlives_answers_that_nobody_reads: Callers, (BODY_CROWD, Message::UnreadAnswers, usize::MAX >> 1);
    a_front_outlives_jobs_of_many_steps: Callers, (BODY_CROWD, Message::ManySteps, PIECE_BYTES);
    readiness_outlives_bodies_that_it_does_not_read: Readiness, (BODY_CROWD, Message::WholeBody, usize::MAX >> 1);
    readiness_outlives_idle_connections: Readiness, (CONNECTION_CROWD, Message::Nothing, PIECE_BYTES);
    readiness_outlives_endless_headers: Readiness, (CONNECTION_CROWD, Message::EndlessHeader, PIECE_BYTES);
    metrics_outlive_bodies_that_they_do_not_read: Metrics, (BODY_CROWD, Message::WholeBody, usize::MAX >> 1);
    metrics_outlive_idle_connections: Metrics, (CONNECTION_CROWD, Message::Nothing, PIECE_BYTES);
    metrics_outlive_endless_headers: Metrics, (CONNECTION_CROWD, Message::EndlessHeader, PIECE_BYTES);
    metrics_outlive_answers_that_nobody_reads: Metrics, (BODY_CROWD, Message::UnreadAnswers, usize::MAX >> 1);
    an_agent_outlives_whole_bodies_one_byte_short: CheckIns, (BODY_CROWD, Message::WholeBody, usize::MAX >> 1);
    an_agent_outlives_bodies_sent_piece_by_piece: CheckIns, (BODY_CROWD, Message::WholeBody, PIECE_BYTES);
    an_agent_outlives_bodies_in_large_chunks: CheckIns, (BODY_CROWD, Message::LargeChunks, usize::MAX >> 1);
    an_agent_outlives_bodies_in_tiny_chunks: CheckIns, (BODY_CROWD, Message::TinyChunks, usize::MAX >> 1);
    an_agent_outlives_check_ins_of_many_labels: CheckIns, (BODY_CROWD, Message::ManyLabels, PIECE_BYTES);
    an_agent_outlives_idle_connections: CheckIns, (CONNECTION_CROWD, Message::Nothing, PIECE_BYTES);
    an_agent_outlives_endless_headers: CheckIns, (CONNECTION_CROWD, Message::EndlessHeader, PIECE_BYTES);
    a_front_outlives_large_frames_of_strangers: Peers, (BODY_CROWD, Message::LargeFrame, PIECE_BYTES);
    a_front_outlives_idle_links_of_strangers: Peers, (CONNECTION_CROWD, Message::Nothing, PIECE_BYTES);
}
