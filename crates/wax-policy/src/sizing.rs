//! Corrects the declared sizes of tasks by the usage measured for their kind.

use crate::kinds::KindKey;
use std::collections::HashMap;
use wax_types::ResourceVector;

/// Number of samples of a kind from which its declared size is corrected.
const MIN_SAMPLES: usize = 12;
/// Number of latest samples that count.
const SAMPLE_WINDOW: usize = 64;
/// Quantile of the measured usage that is reserved.
const QUANTILE: f64 = 0.95;
/// Factor by which the reserved size exceeds the quantile.
const MARGIN_FACTOR: f64 = 1.1;
/// Lower and upper bound of the corrected size, as shares of the declared one.
const MIN_SHARE: f64 = 0.25;
const MAX_SHARE: f64 = 2.0;

#[derive(Debug, Clone, Default)]
struct UsedShares {
    /// Peak usage divided by the declared processors, in a ring buffer whose next position to write
    /// is `next`.
    cpu: Vec<f32>,
    memory: Vec<f32>,
    next: usize,
}

/// Peak usage of the tasks of each kind, as shares of their declared sizes.
#[derive(Debug, Clone, Default)]
pub struct SizeTable {
    kinds: HashMap<KindKey, UsedShares>,
}

impl SizeTable {
    /// Records the peak usage of one run during an interval.
    pub fn learn(&mut self, kind: KindKey, declared: ResourceVector, used: ResourceVector) {
        let shares = self.kinds.entry(kind).or_default();
        let share = |used: u32, declared: u32| used as f32 / declared.max(1) as f32;
        let cpu = share(used.cpu_milli, declared.cpu_milli);
        let memory = share(used.memory_mib, declared.memory_mib);
        if shares.cpu.len() < SAMPLE_WINDOW {
            shares.cpu.push(cpu);
            shares.memory.push(memory);
        } else {
            shares.cpu[shares.next] = cpu;
            shares.memory[shares.next] = memory;
        }
        shares.next = (shares.next + 1) % SAMPLE_WINDOW;
    }

    /// Returns the size to reserve for a task of this kind that declares `declared`.
    pub fn corrected_size(&self, kind: KindKey, declared: ResourceVector) -> ResourceVector {
        let Some(shares) = self
            .kinds
            .get(&kind)
            .filter(|shares| shares.cpu.len() >= MIN_SAMPLES)
        else {
            return declared;
        };
        ResourceVector {
            cpu_milli: correct(declared.cpu_milli, &shares.cpu),
            memory_mib: correct(declared.memory_mib, &shares.memory),
            accelerators: declared.accelerators,
        }
    }
}

fn correct(declared: u32, shares: &[f32]) -> u32 {
    let mut sorted = shares.to_vec();
    sorted.sort_by(f32::total_cmp);
    let rank = ((sorted.len() - 1) as f64 * QUANTILE).round() as usize;
    let share = f64::from(sorted[rank]) * MARGIN_FACTOR;
    let share = share.clamp(MIN_SHARE, MAX_SHARE);
    (f64::from(declared) * share).ceil() as u32
}
