//! Workers with more unacknowledged ends than they list in one answer.

use crate::site::{Site, name, run, wait_for};
use compio::time::sleep;
use serde_json::{Value, json};
use std::time::Duration;

const TASK_MS: u64 = 50;
/// Longer than an agent waits for the answers to a start and to the stop that follows.
const ORDER_TIME: Duration = Duration::from_millis(1_500);
/// Keeps all tasks of a worker running until its faults are reset.
const STANDSTILL: f64 = 1e9;

/// Process that is killed together with the agent of the first worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AlsoKilled {
    Nothing,
    Owner,
    OtherAgent,
}

/// Returns a job of `count` tasks, of which a worker can run more than a thousand at the same time.
fn small_tasks(count: u32) -> Value {
    let step = json!({ "count": count, "cpu": 1, "memMb": 1, "estimatedMs": TASK_MS });
    let spec = json!({ "ms": TASK_MS, "cpu": 1, "mem": 1 }).to_string();
    json!({ "spec": spec, "phases": [step] })
}

async fn ends_while_the_agent_is_away(test: &str, vms: usize, tasks: u32, also: AlsoKilled) {
    let mut site = Site::start(test, 2, vms).await;
    site.make_first_front_owner(&name(9)).await;
    site.wait_log_lines("front-0", "worker taken over", vms)
        .await;
    for number in 0..vms {
        let faults = json!({ "slow_times": STANDSTILL });
        site.set_worker_faults(number, faults).await;
    }
    site.submit(&name(1), &small_tasks(tasks)).await;
    // A start that is not answered in time is stopped and ordered again.
    wait_for("all tasks to run, and none to be started again", || async {
        let starts = site.start_count(&name(1)).await;
        sleep(ORDER_TIME).await;
        let is_settled = site.start_count(&name(1)).await == starts
            && site.running_count(&name(1)).await == tasks as usize;
        is_settled.then_some(())
    })
    .await;
    site.kill_agent(0);
    match also {
        AlsoKilled::Nothing => {}
        AlsoKilled::Owner => site.kill_front(0),
        AlsoKilled::OtherAgent => site.kill_agent(1),
    }
    let starts = site.start_count(&name(1)).await;
    for number in 0..vms {
        site.set_worker_faults(number, json!({})).await;
    }
    wait_for("all tasks to end", || async {
        (site.running_count(&name(1)).await == 0).then_some(())
    })
    .await;
    site.start_agent(0);
    if also == AlsoKilled::OtherAgent {
        site.start_agent(1);
    }
    site.wait_state(&name(1), "completed").await;
    let later_starts = site.start_count(&name(1)).await - starts;
    assert_eq!(later_starts, 0, "a task ran again after its end");
    wait_for(
        "a killed agent to send a list with further ends",
        || async {
            let mut logs = (0..vms).map(|number| site.log(&format!("side-{number}")));
            logs.any(|log| log.contains("\"has_more_ends\":true"))
                .then_some(())
        },
    )
    .await;
    site.audit().await;
}

/// Defines one test per row: the workers, the tasks, and what is killed with the first worker's agent. Each guards
/// against a task that runs again: a list of 500 ends was taken as complete after the agent had started again.
macro_rules! many_ends_tests {
    ($($name:ident: $vms:expr, $tasks:expr, $also:ident;)*) => {
        $(
            #[test]
            fn $name() {
                let test = stringify!($name);
                run(ends_while_the_agent_is_away(test, $vms, $tasks, AlsoKilled::$also));
            }
        )*
    };
}

many_ends_tests! {
    ends_beyond_the_first_page_count_after_an_agent_start: 1, 600, Nothing;
    ends_that_just_fill_a_page_count_after_an_agent_start: 1, 500, Nothing;
    ends_of_three_pages_count_after_an_agent_start: 1, 1_050, Nothing;
    ends_beyond_the_first_page_count_under_a_new_owner: 1, 600, Owner;
    ends_beyond_the_first_page_count_after_the_start_of_two_agents: 2, 1_200, OtherAgent;
}
