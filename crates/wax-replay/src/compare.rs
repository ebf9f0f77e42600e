//! Compares the weighed policy with the baselines over many seeds, as ratios with their spread.

use crate::engine::replay;
use crate::report::ReplayReport;
use crate::trace::{ReplayPolicy, TraceError, TraceLine};
use serde::{Deserialize, Serialize};

/// Spread of a ratio over the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RatioSpread {
    /// Lowest ratio.
    #[serde(rename = "least")]
    pub min: f64,
    /// Median ratio.
    pub median: f64,
    /// Highest ratio.
    #[serde(rename = "most")]
    pub max: f64,
}

/// Figures of the weighed policy divided by those of one baseline. Below 1 is better, except for
/// `work`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PolicyRatios {
    /// Name of the baseline policy, or `best`.
    pub baseline: Box<str>,
    /// 99.9th percentile of the latency of quick requests.
    pub p999: RatioSpread,
    /// 99th percentile of the latency of quick requests.
    pub p99: RatioSpread,
    /// Quick requests that missed their deadlines.
    pub misses: RatioSpread,
    /// Number of evictions.
    pub evictions: RatioSpread,
    /// Batch work that was lost.
    pub lost_work: RatioSpread,
    /// Batch work that was done; above 1 is better.
    pub work: RatioSpread,
}

/// Comparison over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// Number of seeds.
    pub seeds: u64,
    /// Reports of the weighed policy, one for each seed.
    pub ours: Vec<ReplayReport>,
    /// Ratios to each baseline.
    pub ratios: Vec<PolicyRatios>,
    /// Ratios to the best baseline, chosen for each figure and seed separately.
    pub best: PolicyRatios,
    /// Largest over-allocation in any replay, thousandths of a core; must be 0.
    pub worst_over_milli: u64,
}

/// Replays a trace with every policy and the seeds 1 to `seeds`.
///
/// # Errors
///
/// A line names something that no line before it declares, as for [`replay`].
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

/// The figures of one replay that are compared.
#[derive(Debug, Clone, Copy)]
struct FigureSet {
    p999: f64,
    p99: f64,
    misses: f64,
    evictions: f64,
    lost_work: f64,
    work: f64,
}

fn figures(report: &ReplayReport) -> FigureSet {
    FigureSet {
        p999: report.quick.p999_us as f64,
        p99: report.quick.p99_us as f64,
        misses: report.quick.misses as f64,
        evictions: report.batch.evictions as f64,
        lost_work: report.batch.lost_work_ms as f64,
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
        lost_work: a.lost_work.min(b.lost_work),
        work: a.work.max(b.work),
    })
    .expect("BASELINES is not empty")
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
        lost_work: spread(|set| set.lost_work),
        work: spread(|set| set.work),
    }
}

/// Divides two figures. The ratio of two zeros is 1. If only the baseline is zero, the ratio is 1
/// plus the figure of the weighed policy.
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
