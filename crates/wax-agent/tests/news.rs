//! What waits for the next heartbeat, and what must not be told any more.

use wax_agent::GatheredNews;
use wax_batch::{JobName, RunEnd, RunEndKind, RunId, RunReport, StartRefusal, TaskName};
use wax_wire::{RefusalFrame, RunUpdates};

fn mark(index: u32) -> RunId {
    let task = TaskName {
        job: JobName(7),
        occurrence: 0,
        step: 0,
        index,
    };
    RunId { task, run: 1 }
}

fn report(index: u32, percent: u32) -> RunReport {
    RunReport {
        run_id: mark(index),
        checkpoint: "".into(),
        percent,
        load_metric: 0,
        confirmed_by_worker: true,
    }
}

fn end(index: u32) -> RunEnd {
    RunEnd {
        number: 1,
        run_id: mark(index),
        kind: RunEndKind::Done,
        checkpoint: "".into(),
    }
}

/// Runs 1 and 2 were started and go on.
fn gathered() -> GatheredNews {
    let mut news = GatheredNews::default();
    for index in [1, 2] {
        news.note_started(mark(index));
        news.note_going(report(index, 10));
    }
    news
}

fn told(news: &RunUpdates) -> (Vec<RunId>, Vec<RunReport>) {
    let started = news.started.iter().map(Into::into);
    let going = news.running.iter().map(Into::into);
    (started.collect(), going.collect())
}

#[test]
fn all_goes_with_the_next_heartbeat_once() {
    let mut news = gathered();
    let (started, going) = told(&news.take().expect("there are news"));
    assert_eq!(started, [mark(1), mark(2)]);
    assert_eq!(going, [report(1, 10), report(2, 10)]);
    assert_eq!(news.take(), None);
}

#[test]
fn a_later_report_takes_the_place_of_an_earlier_one() {
    let mut news = gathered();
    news.note_going(report(1, 60));
    let (_, going) = told(&news.take().expect("there are news"));
    assert_eq!(going, [report(1, 60), report(2, 10)]);
}

#[test]
fn a_list_of_all_makes_what_was_gathered_needless() {
    let mut news = gathered();
    news.clear();
    assert_eq!(news.take(), None);
}

macro_rules! over_cases {
    ($($name:ident: $news:expr;)*) => {
        $(
            /// Taken after the end, the progress would seat the run anew.
            #[test]
            fn $name() {
                let (started, going) = told(&gathered().complete($news));
                assert_eq!(started, [mark(2)]);
                assert_eq!(going, [report(2, 10)]);
            }
        )*
    };
}

over_cases! {
    the_progress_of_a_run_that_ends_is_not_told:
        RunUpdates { ends: vec![(&end(1)).into()], ..Default::default() };
    the_progress_of_a_run_that_never_began_is_not_told:
        RunUpdates { refused: vec![RefusalFrame::new(mark(1), StartRefusal::Unwell)], ..Default::default() };
}
