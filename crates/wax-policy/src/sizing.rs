//! Corrects declared sizes by what tasks of a kind truly used.

use crate::kinds::KindKey;
use std::collections::HashMap;
use wax_types::ResourceVector;

/// Reports of a kind before its declared size is corrected.
const MIN_SAMPLES: usize = 12;
/// Latest reports that count.
const SAMPLE_WINDOW: usize = 64;
/// The quantile of what was used that is reserved.
const QUANTILE: f64 = 0.95;
/// Reserved above the quantile.
const HEADROOM: f64 = 1.1;
/// The correction stays between these shares of what was declared.
const MIN_SHARE: f64 = 0.25;
const MAX_SHARE: f64 = 2.0;

#[derive(Debug, Clone, Default)]
struct UsedShares {
    /// Used by declared processors, latest last.
    cpu: Vec<f32>,
    memory: Vec<f32>,
    next: usize,
}

/// What tasks of each kind used, as shares of what was declared.
#[derive(Debug, Clone, Default)]
pub struct SizeTable {
    kinds: HashMap<KindKey, UsedShares>,
}

impl SizeTable {
    /// Takes what one run used at most during an interval.
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

    /// What to reserve for a task that declares `declared`.
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
    let share = f64::from(sorted[rank]) * HEADROOM;
    let share = share.clamp(MIN_SHARE, MAX_SHARE);
    (f64::from(declared) * share).ceil() as u32
}
