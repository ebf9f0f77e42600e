//! Our policy against the baselines, over many seeds, as ratios with their spread.

use crate::engine::replay;
use crate::report::ReplayReport;
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use serde::{Deserialize, Serialize};

/// The spread of a ratio over the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RatioSpread {
    /// The least.
    #[serde(rename = "least")]
    pub min: f64,
    /// The median.
    pub median: f64,
    /// The greatest.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Ours divided by one baseline; below 1 is better, but for the batch work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRatios {
    /// The baseline.
    pub baseline: Box<str>,
    /// 99.9th percentile of quick requests.
    pub p999: RatioSpread,
    /// 99th percentile.
    pub p99: RatioSpread,
    /// Requests that missed their deadlines.
    pub misses: RatioSpread,
    /// Evictions.
    pub evictions: RatioSpread,
    /// Work that was lost.
    pub lost_work: RatioSpread,
    /// Batch work done; above 1 is better.
    pub work: RatioSpread,
}

/// The comparison over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// How many seeds.
    pub seeds: u64,
    /// Ours with each seed.
    pub ours: Vec<ReplayReport>,
    /// Against each baseline.
    pub ratios: Vec<PolicyRatios>,
    /// Against the best baseline in each figure, seed by seed.
    pub best: PolicyRatios,
    /// The worst over-allocation of all runs; must be 0.
    pub worst_over_milli: u64,
}

/// Replays a trace with every policy and the seeds 1 to `seeds`.
///
/// # Errors
///
/// As for [`replay`].
pub fn compare_policies(lines: &[TraceLine], seeds: u64) -> Result<ComparisonReport, TraceError> {
    let all = |policy: ReplayPolicy| -> Result<Vec<ReplayReport>, TraceError> {
        (1..=seeds)
            .map(|seed| replay(lines, policy, seed))
            .collect()
    };
    let ours = all(ReplayPolicy::WEIGHED)?;
    let mut baselines = Vec::new();
    for policy in ReplayPolicy::BASELINES {
        baselines.push(all(policy)?);
    }
    let ratios = baselines
        .iter()
        .map(|reports| ratios_of(reports[0].policy.clone(), &ours, &figures_of_all(reports)))
        .collect();
    let best: Vec<FigureSet> = (0..ours.len())
        .map(|seed| best_of(baselines.iter().map(|reports| figures(&reports[seed]))))
        .collect();
    let worst = ours
        .iter()
        .chain(baselines.iter().flatten())
        .map(|report| report.worst_over_milli)
        .max();
    Ok(ComparisonReport {
        seeds,
        ratios,
        best: ratios_of("best".into(), &ours, &best),
        worst_over_milli: worst.unwrap_or(0),
        ours,
    })
}

/// The figures that are compared.
#[derive(Debug, Clone, Copy)]
struct FigureSet {
    p999: f64,
    p99: f64,
    misses: f64,
    evictions: f64,
    lost: f64,
    work: f64,
}

fn figures(report: &ReplayReport) -> FigureSet {
    FigureSet {
        p999: report.quick.p999_us as f64,
        p99: report.quick.p99_us as f64,
        misses: report.quick.misses as f64,
        evictions: report.batch.evictions as f64,
        lost: report.batch.lost_work_ms as f64,
        work: (report.batch.work_done_ms + report.batch.work_open_ms) as f64,
    }
}

fn figures_of_all(reports: &[ReplayReport]) -> Vec<FigureSet> {
    reports.iter().map(figures).collect()
}

fn best_of(sets: impl Iterator<Item = FigureSet>) -> FigureSet {
    sets.reduce(|a, b| FigureSet {
        p999: a.p999.min(b.p999),
        p99: a.p99.min(b.p99),
        misses: a.misses.min(b.misses),
        evictions: a.evictions.min(b.evictions),
        lost: a.lost.min(b.lost),
        work: a.work.max(b.work),
    })
    .expect("there are baselines")
}

fn ratios_of(baseline: Box<str>, ours: &[ReplayReport], theirs: &[FigureSet]) -> PolicyRatios {
    let spread = |figure: fn(&FigureSet) -> f64| {
        let ratios = ours.iter().zip(theirs).map(|(ours, theirs)| {
            let ours = figure(&figures(ours));
            ratio(ours, figure(theirs))
        });
        spread_of(ratios.collect())
    };
    PolicyRatios {
        baseline,
        p999: spread(|set| set.p999),
        p99: spread(|set| set.p99),
        misses: spread(|set| set.misses),
        evictions: spread(|set| set.evictions),
        lost_work: spread(|set| set.lost),
        work: spread(|set| set.work),
    }
}

/// Two zeros are equal; against a zero, each of ours counts as once more.
fn ratio(ours: f64, theirs: f64) -> f64 {
    match (ours, theirs) {
        (0.0, 0.0) => 1.0,
        (ours, 0.0) => 1.0 + ours,
        (ours, theirs) => ours / theirs,
    }
}

fn spread_of(mut ratios: Vec<f64>) -> RatioSpread {
    ratios.sort_by(f64::total_cmp);
    RatioSpread {
        min: ratios[0],
        median: ratios[ratios.len() / 2],
        max: ratios[ratios.len() - 1],
    }
}
