//! A process must not use an outdated config for longer than the bound. The tests simulate
//! connections that go silent, reads that fail, and owners that do not report.

use proptest::prelude::*;
use std::time::Duration;
use wax_policy::{ConfigReader, ConfigRules, ConfigView, DrainRules, ReadChoice};
use wax_types::TimePoint;

/// `configApplyMs` of the users' smallest sites.
const BOUND_MS: u64 = 2_000;
/// Time after the end of a fault from which the bound applies again: `contactMs` of the same sites.
const CONTACT_MS: u64 = 3_000;
/// Time that the store takes to answer.
const ANSWER_MS: u64 = 10;
/// Interval between a front's heartbeats to the owner.
const HEARTBEAT_MS: u64 = 200;

fn rules() -> ConfigRules {
    ConfigRules::new(Duration::from_millis(BOUND_MS), DrainRules::default())
}

fn ceil_ms(duration: Duration) -> u64 {
    duration.as_micros().div_ceil(1_000) as u64
}

/// Simulated process that reads the operator's rows when its view asks for it.
struct Reader {
    view: ConfigView,
    reader: ConfigReader,
    /// Time until which the process waits or reads.
    busy_until: u64,
    /// Start of the read in progress, and whether the store will answer it.
    reading: Option<(u64, bool)>,
    /// Whether the open connection is silent; the first read after the cut fails and a new
    /// connection is opened.
    is_connection_silent: bool,
    read_count: u32,
}

impl Reader {
    fn new(reader: ConfigReader) -> Self {
        let mut view = ConfigView::default();
        view.record_read(TimePoint::from_millis(0));
        Self {
            view,
            reader,
            busy_until: 0,
            reading: None,
            is_connection_silent: false,
            read_count: 0,
        }
    }

    /// Simulates one millisecond. `store_answers` tells whether the store answers new calls,
    /// `jitter` is 0 to 1.
    fn step(&mut self, now: u64, store_answers: bool, jitter: f64) {
        if now < self.busy_until {
            return;
        }
        if let Some((started, answered)) = self.reading.take() {
            if answered {
                self.view.record_read(TimePoint::from_millis(started));
            } else {
                self.is_connection_silent = false;
                self.view.record_read_failure();
                let pause = rules().retry_delay();
                self.busy_until = now + ceil_ms(pause.mul_f64(1.0 + jitter));
                return;
            }
        }
        let time = TimePoint::from_millis(now);
        match self.view.next_read(time, &rules(), self.reader) {
            ReadChoice::Wait(wait) => self.busy_until = now + ceil_ms(wait).min(HEARTBEAT_MS),
            ReadChoice::Read(limit) => {
                self.read_count += 1;
                let answered = store_answers && !self.is_connection_silent;
                let duration = if answered { ANSWER_MS } else { ceil_ms(limit) };
                self.reading = Some((now, answered));
                self.busy_until = now + duration;
            }
        }
    }

    fn age(&self, now: u64) -> u64 {
        let age = self.view.age(TimePoint::from_millis(now));
        ceil_ms(age.unwrap_or(Duration::MAX))
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Open connections go silent at random times while new connections work at once. A read that
    /// hangs on a silent connection must time out early enough for a second read within the bound.
    #[test]
    fn config_age_stays_within_bound_when_connections_go_silent(
        cuts in prop::collection::vec(3_500_u64..9_000, 1..4),
        is_owner in any::<bool>(),
        jitter in 0.0..1.0_f64,
    ) {
        let reader_kind = if is_owner { ConfigReader::Owner } else { ConfigReader::Front };
        let mut reader = Reader::new(reader_kind);
        let mut next = 0;
        let cuts: Vec<u64> = cuts.iter().map(|gap| { next += gap; next }).collect();
        for now in 0..next + 8_000 {
            if cuts.contains(&now) {
                reader.is_connection_silent = true;
                // A read in progress is lost with its connection.
                if let Some(reading) = reader.reading.as_mut() {
                    reading.1 = false;
                    reader.busy_until = reading.0 + BOUND_MS / 4;
                }
            }
            reader.step(now, true, jitter);
            prop_assert!(reader.age(now) <= BOUND_MS, "config is {} ms old at {now} ms", reader.age(now));
        }
    }

    /// The store does not answer for some time. The config must be fresh again as soon as the
    /// contact time after the outage has passed.
    #[test]
    fn config_is_fresh_again_within_contact_time_after_a_store_outage(
        outage_start in 3_000_u64..6_000,
        outage_ms in 1_u64..12_000,
        is_owner in any::<bool>(),
        jitter in 0.0..1.0_f64,
    ) {
        let reader_kind = if is_owner { ConfigReader::Owner } else { ConfigReader::Front };
        let mut reader = Reader::new(reader_kind);
        let outage_end = outage_start + outage_ms;
        for now in 0..outage_end + 8_000 {
            reader.step(now, !(outage_start..outage_end).contains(&now), jitter);
            if now < outage_start || now >= outage_end + CONTACT_MS {
                prop_assert!(reader.age(now) <= BOUND_MS, "config is {} ms old at {now} ms", reader.age(now));
            }
        }
    }

    /// A front whose owner reports its reads in time must not read the store itself.
    #[test]
    fn front_with_timely_reports_reads_nothing(delay_ms in 0_u64..40, jitter in 0.0..1.0_f64) {
        let mut owner = Reader::new(ConfigReader::Owner);
        let mut front = Reader::new(ConfigReader::Front);
        for now in 0..20_000_u64 {
            owner.step(now, true, jitter);
            if now % HEARTBEAT_MS == 0 && now > 0 {
                let age = owner.view.own_read_age(TimePoint::from_millis(now + delay_ms));
                front.view.record_report(TimePoint::from_millis(now) - age.unwrap_or_default());
            }
            front.step(now, true, jitter);
        }
        prop_assert_eq!(front.read_count, 0);
    }
}

/// Reports of an earlier time, and reports that arrive late, must not make the config look fresher.
#[test]
fn older_reports_do_not_refresh_the_view() {
    let mut view = ConfigView::default();
    view.record_report(TimePoint::from_millis(5_000));
    view.record_report(TimePoint::from_millis(1_000));
    view.record_read(TimePoint::from_millis(2_000));
    let now = TimePoint::from_millis(6_000);
    assert_eq!(view.age(now), Some(Duration::from_millis(1_000)));
    assert_eq!(view.own_read_age(now), Some(Duration::from_millis(4_000)));
}

/// Before its first read, a process must assume that its config is stale.
#[test]
fn config_may_be_stale_before_the_first_read() {
    let view = ConfigView::default();
    assert!(view.may_be_stale(TimePoint::from_millis(1), &rules()));
    let first = view.next_read(TimePoint::from_millis(1), &rules(), ConfigReader::Front);
    assert!(matches!(first, ReadChoice::Read(_)));
}

/// An owner must read often enough for the drain view by which it orders starts.
#[test]
fn owner_read_interval_respects_the_drain_bound() {
    let drains = DrainRules {
        bound: Some(Duration::from_millis(3_000)),
    };
    let rules = ConfigRules::new(Duration::from_secs(60), drains);
    let order = drains
        .max_age_for_order()
        .expect("the drain rules have a bound");
    assert!(rules.refresh_age(ConfigReader::Owner) * 2 < order);
}
