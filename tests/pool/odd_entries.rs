//! Rows and check-ins of another writer, which the processes must skip while they use the others.

use crate::site::{Site, job, name, run, wait_for};
use prost::Message;
use serde_json::{Value, json};
use wax_batch::{JobRow, JobSpec, QueueRules, RepeatPlan, StepSpec, TaskSize, VersionedRules};
use wax_owner::OwnerRow;

/// Row of another writer: table, part, key, and the text in place of the Base64 of the value.
type OddRow = (&'static str, &'static str, String, String);

fn encoded(table: &'static str, key: impl Into<String>, row: &impl Message) -> OddRow {
    let value = crate::site::base64(&row.encode_to_vec());
    (table, "s0", key.into(), value)
}

fn spec(steps: &[(u32, &[u16])]) -> JobSpec {
    let step = |(count, after): &(u32, &[u16])| StepSpec {
        count: *count,
        after: (*after).into(),
        size: TaskSize {
            cpu_milli: 100,
            memory_mb: 100,
            accelerators: 0,
        },
        ..Default::default()
    };
    JobSpec {
        text: "".into(),
        steps: steps.iter().map(step).collect(),
        repeat: None,
    }
}

/// Job of another writer in a queue that exists.
fn job_row(spec: &JobSpec) -> JobRow {
    let queue = QueueRules {
        name: "q-g-".into(),
        host: "h.example".into(),
        prefix: "/g/".into(),
        service: "svc".into(),
        priority: 0,
        max_attempts: 2,
        stretch: 2.0,
        target_latency_ms: 500,
        timeout_ms: 3_000,
        advice: None,
    };
    let rules = VersionedRules {
        version: 1,
        rules: queue.into(),
    };
    JobRow::new(spec, &rules, 1, 7)
}

fn odd_job(spec: &JobSpec) -> OddRow {
    encoded("job", name(77), &job_row(spec))
}

fn job_of_term(epoch: u64) -> OddRow {
    let row = JobRow {
        epoch,
        ..job_row(&spec(&[(1, &[])]))
    };
    encoded("job", name(77), &row)
}

fn other_owner(epoch: u64, address: &str) -> OddRow {
    let row = OwnerRow {
        epoch,
        address: address.into(),
        node: "front-9".into(),
        ..Default::default()
    };
    encoded("owner", "zz", &row)
}

fn deep_json() -> String {
    let text = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    format!(r#"{{"wave":1,"machines":{text},"durationS":1e400,"maxCount":-1}}"#)
}

/// Runs jobs while the rows are in the store, restarts all fronts and agents, and runs jobs again.
async fn odd_rows(test: &str, rows: Vec<OddRow>) {
    let mut site = Site::start(test, 2, 1).await;
    site.make_first_front_owner(&name(1)).await;
    for (table, part, key, text) in &rows {
        site.put_row_text((table, part), key, text).await;
    }
    run_jobs(&mut site, 2).await;
    for number in 0..2 {
        site.kill_front(number);
        site.start_front(number);
    }
    site.kill_agent(0);
    site.start_agent(0);
    for number in 0..2 {
        site.wait_ready(number).await;
    }
    run_jobs(&mut site, 6).await;
    site.audit().await;
}

async fn run_jobs(site: &mut Site, first: u64) {
    for number in first..first + 3 {
        site.submit(&name(number), &job(2, 3, 30)).await;
        site.wait_state(&name(number), "completed").await;
    }
    assert!(site.are_all_running(), "a process has ended by itself");
}

macro_rules! odd_row_tests {
    ($($name:ident: $($row:expr),+;)*) => {
        $(
            #[test]
            fn $name() {
                run(odd_rows(stringify!($name), vec![$($row),+]));
            }
        )*
    };
}

fn text(table: &'static str, part: &'static str, key: &str, text: impl Into<String>) -> OddRow {
    (table, part, key.into(), text.into())
}

fn garbage(table: &'static str, key: &str) -> OddRow {
    text(table, "s0", key, crate::site::base64(&[0xff; 300]))
}

odd_row_tests! {
    a_job_whose_step_waits_for_a_step_that_does_not_exist_is_skipped:
        odd_job(&spec(&[(1, &[40_000])]));
    a_job_of_four_billion_tasks_is_skipped: odd_job(&spec(&[(u32::MAX, &[]), (u32::MAX, &[])]));
    a_job_without_steps_is_skipped: odd_job(&spec(&[]));
    a_job_of_four_billion_occurrences_is_skipped: odd_job(&JobSpec {
        repeat: Some(RepeatPlan { count: u32::MAX, first_ms: u64::MAX, interval_ms: u64::MAX }),
        ..spec(&[(1, &[])])
    });
    a_job_of_a_term_that_has_not_begun_is_skipped: job_of_term(1_000_000);
    a_row_beside_the_owners_is_not_the_owner: other_owner(1_000_000, "127.0.0.1:99999");
    a_row_beside_the_owners_with_the_highest_term_is_not_the_owner: other_owner(u64::MAX, "127.0.0.1:1");
    values_that_are_not_base64_are_skipped: text("job", "s0", &name(77), "?%"),
        text("op", "", "wave/7", "?%"), text("op", "", "other", "\u{e9}"), text("agent", "s0", "zz", "?%"),
        text("progress", "s0", &name(77), "?%"), text("owner", "s0", "zz", "?%"), text("beat", "s0", "zz", "?%"),
        text("press", "s0", "zz", "?%"), text("ages", "s0", "zz", "?%");
    values_that_are_no_message_are_skipped: garbage("job", &name(77)), garbage("job", "%&? #\u{e9}"),
        garbage("agent", "zz"), garbage("progress", &name(77)), garbage("progress", "a.b"),
        garbage("owner", "zz"), garbage("beat", "zz"), garbage("press", "pairs"), garbage("ages", "versions");
    waves_that_cannot_be_read_are_skipped:
        text("op", "", "wave/7", crate::site::base64(deep_json().as_bytes())),
        text("op", "", "wave/8", crate::site::base64(br#"{"wave":1e400,"machines":[],"durationS":1,"maxCount":1}"#)),
        text("op", "", "other", crate::site::base64(deep_json().as_bytes()));
}

/// Body of a check-in that differs from that of the worker in these fields; `null` removes a field.
fn changed(report: &Value, fields: &Value) -> Vec<u8> {
    let mut report = report.clone();
    // The worker's own check-ins would be ignored after one with a higher number.
    report["sequence"] = json!(1_000_000);
    let changes = fields.as_object().into_iter().flatten();
    let body = report.as_object_mut().expect("a report must be an object");
    for (name, value) in changes {
        match value {
            Value::Null => drop(body.remove(name)),
            value => drop(body.insert(name.clone(), value.clone())),
        }
    }
    report.to_string().into_bytes()
}

/// The case of `review/8`, with every field: a check-in that lacks or mistypes a field describes no worker. The
/// worker's own check-ins must count afterwards.
#[test]
fn odd_check_ins_change_nothing() {
    run(async {
        let mut site = Site::start("odd-check-ins", 1, 2).await;
        site.wait_log_lines("front-0", "worker taken over", 2).await;
        for number in 0..2 {
            let report = site.worker_report(number).await;
            let odd = [
                json!({ "capacity": null, "address": null, "zone": null, "labels": null, "born": null }),
                json!({ "capacity": null }),
                json!({ "capacity": { "cpu": 1 } }),
                json!({ "capacity": { "cpu": -1, "memMb": 1, "gpu": 0 } }),
                json!({ "capacity": { "cpu": 1e300, "memMb": 1, "gpu": 0 } }),
                json!({ "address": "127.0.0.1:99999" }),
                json!({ "address": 7 }),
                json!({ "service": "another" }),
                json!({ "sequence": u64::MAX, "state": "draining" }),
                json!({ "sequence": -1 }),
                json!({ "state": "asleep" }),
                json!({ "labels": "a" }),
                json!({ "born": "soon", "state": "draining" }),
            ];
            let mut bodies: Vec<Vec<u8>> = odd.iter().map(|odd| changed(&report, odd)).collect();
            bodies.extend([
                deep_json().into_bytes(),
                vec![0xff; 99],
                b"{".to_vec(),
                Vec::new(),
            ]);
            for body in bodies {
                let text = String::from_utf8_lossy(&body[..body.len().min(400)]).into_owned();
                let status = site.call_agent_as_other(number, "heartbeat", body).await;
                assert_eq!(status, 400, "{text}");
            }
            let leave = br#"{"born":"soon"}"#.to_vec();
            assert_eq!(site.call_agent_as_other(number, "leave", leave).await, 400);
        }
        run_jobs(&mut site, 1).await;
        site.set_worker_faults(0, json!({ "cpu_milli": 2_000 }))
            .await;
        let counts = || async {
            let log = site.log("side-0");
            (log.contains("worker capacity changed") && log.contains("2000")).then_some(())
        };
        wait_for("the worker's own check-ins to count", counts).await;
        for number in 0..2 {
            site.kill_agent(number);
            site.start_agent(number);
        }
        site.kill_front(0);
        site.start_front(0);
        site.wait_ready(0).await;
        run_jobs(&mut site, 5).await;
        site.audit().await;
    });
}
