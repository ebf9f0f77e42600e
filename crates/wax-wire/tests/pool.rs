//! Every kind of message of the pool survives the wire.

use bytes::BytesMut;
use std::time::Duration;
use tokio_util::codec::{Decoder, Encoder};
use wax_batch::{
    BootId, JobName, LostRun, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName,
    TaskSize, WorkerState, WorkerView,
};
use wax_policy::PairInterference;
use wax_wire::*;

fn mark() -> RunId {
    RunId {
        task: TaskName {
            job: JobName(0x5c0e_7a21_d94b_36f8),
            occurrence: 3,
            step: 2,
            index: 17,
        },
        run: 65_537,
    }
}

fn boot() -> BootId {
    BootId::new("i-1", Some(7))
}

fn view() -> WorkerView {
    WorkerView {
        boot: boot(),
        service: "svc".into(),
        failure_domain: "a".into(),
        rack: Some("r1".into()),
        labels: vec!["a".into(), "r1".into()],
        capacity: TaskSize {
            cpu_milli: 16_000,
            memory_mb: 64_000,
            accelerators: 2,
        },
        state: WorkerState::Silent,
        cold_ms: 5,
        remaining_ms: 7,
    }
}

fn report() -> RunReport {
    RunReport {
        run_id: mark(),
        checkpoint: "00bb".into(),
        percent: 41,
        load_metric: 12,
        confirmed_by_worker: true,
    }
}

fn lost() -> LostRun {
    LostRun {
        run_id: mark(),
        min_run_time: Some(Duration::from_millis(12)),
    }
}

fn end() -> RunEnd {
    RunEnd {
        number: 58,
        run_id: mark(),
        kind: RunEndKind::Broken,
        checkpoint: "".into(),
    }
}

fn seat() -> SeatFrame {
    SeatFrame {
        mark: mark().into(),
        cpu_milli: 100,
        memory_mb: 200,
        accelerators: 0,
        fills: true,
        tail_target_ms: 150,
        image: "red".into(),
    }
}

fn row() -> RowFrame {
    RowFrame {
        table: "jobs".into(),
        part: "p".into(),
        key: "k".into(),
        value: b"value".to_vec(),
        version: 5,
    }
}

macro_rules! survives {
    ($($name:ident: $body:expr,)*) => {
        $(
            #[test]
            fn $name() {
                let frame = PoolFrame::from($body);
                let mut bytes = BytesMut::new();
                PeerCodec::new().encode(frame.clone(), &mut bytes).expect("it encodes");
                let decoded = PeerCodec::<PoolFrame>::new().decode(&mut bytes).expect("it decodes");
                assert_eq!(decoded, Some(frame));
            }
        )*
    };
}

survives! {
    agent_hello: PoolBody::AgentHello(AgentHello { node: "side-1".into(), dead: vec![(&boot()).into()] }),
    entry_hello: PoolBody::EntryHello(EntryHello {
        node: "edge-1".into(),
        address: "10.0.0.1:7700".into(),
    }),
    relay: PoolBody::Relay(RelayAsk {
        ask: 7,
        expect: vec![ExpectFrame {
            table: "jobs".into(),
            part: "p".into(),
            key: "k".into(),
            version: 3,
        }],
        writes: vec![row()],
        wait_ms: 900,
        sent_us: 12,
        remove: vec![row()],
    }),
    relayed: PoolBody::Relayed(RelayTold {
        ask: 7,
        fate: RelayFate::Conflict.into(),
        version: 0,
        rows: vec![row()],
    }),
    welcome: PoolBody::Welcome(OwnerWelcome { epoch: 3, token: 9 }),
    not_owner: PoolBody::NotOwner(NotOwner { address: "10.0.0.1:7".into(), epoch: 3 }),
    ping: PoolBody::Ping(LinkPing { sent_us: 5, config: 7, fitness: 500, store_lost: true }),
    grant: PoolBody::Grant(LeaseGrant { sent_us: 5, valid_ms: 2_500, store_lost: true, config: 7, overload: 0.5, rank: 3, best: 500, period_ms: 900, config_age_ms: Some(40),
        drains: Some(DrainFrame { version: 9, domains: vec!["a".into(), "b".into()], age_ms: 40 }) }),
    worker_up: PoolBody::WorkerUp(WorkerUp {
        worker: (&view()).into(),
        runs: vec![(&report()).into()],
        ends: vec![(&end()).into()],
        known_pairs: 480,
    }),
    worker_kept: PoolBody::WorkerKept(WorkerKept { worker: "i-1".into(), seats: vec![seat()], started_ms: Some(7) }),
    worker_changed: PoolBody::WorkerChanged((&view()).into()),
    worker_gone: PoolBody::WorkerGone(WorkerGone::new(&boot(), true)),
    news: PoolBody::News(RunNews {
        started: vec![mark().into()],
        refused: vec![RefusalFrame::new(mark(), StartRefusal::Unwell)],
        going: vec![(&report()).into()],
        ends: vec![(&end()).into()],
    }),
    start: PoolBody::Start(StartRun {
        seat: seat(),
        text: "work".into(),
        checkpoint: "".into(),
        ticket: "t".into(),
        worker: "i-1".into(),
        started_ms: Some(7),
    }),
    stop: PoolBody::Stop(StopRun { mark: mark().into() }),
    ack: PoolBody::Ack(AckEnds::new(&boot(), 57)),
    ask: PoolBody::Ask(JobAsk { ask: 1, job: 2, queue: "q".into() }),
    told: PoolBody::Told(JobTold { ask: 1, known: true, outcome: 1, begun: true, pending: 4 }),
    config: PoolBody::Config(ConfigPush { text: b"{}".to_vec() }),
    presses: PoolBody::Presses(PressNews {
        pairs: vec![PressFrame::new("red", "heavy", PairInterference { per_core: 0.25, precision: 2.0 })],
        rooms: vec![RoomFrame { serving: "red".into(), room: 0.5 }],
    }),
    cancelled: PoolBody::Cancelled(JobCancelled { job: 7 }),
    boot_crashed: PoolBody::BootCrashed(BootCrashed {
        worker: "i-1".into(),
        runs: vec![(&lost()).into(), (&LostRun { min_run_time: None, ..lost() }).into()],
        started_ms: None,
    }),
}

#[test]
fn typed_parts_come_back_as_they_were() {
    assert_eq!(RunId::from(&MarkFrame::from(mark())), mark());
    assert_eq!(WorkerView::from(WorkerFrame::from(&view())), view());
    assert_eq!(RunReport::from(&ReportFrame::from(&report())), report());
    assert_eq!(RunEnd::from(&EndFrame::from(&end())), end());
    assert_eq!(LostRun::from(&LostFrame::from(&lost())), lost());
    for boot in [boot(), "i-1".into()] {
        assert_eq!(BootId::from(&BootFrame::from(&boot)), boot);
    }
    for why in [
        StartRefusal::Room,
        StartRefusal::Unwell,
        StartRefusal::Stale,
        StartRefusal::Drained,
    ] {
        assert_eq!(RefusalFrame::new(mark(), why).decode(), (mark(), why));
    }
}
