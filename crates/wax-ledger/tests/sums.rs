//! The sums must not depend on the order of entries or on how often an entry is written. Entries
//! are repeated when a write is retried under another name after a lost reply. Their order varies
//! because the name of each segment contains a random nonce and segments are read as listed.

use proptest::prelude::*;
use wax_ledger::{LedgerEntry, UsageAmount, UsageKey, UsageSum};
use wax_types::{JobId, TaskEpoch, TaskId};

fn entry(job: u128, index: u32, epoch: u32, interval: u32) -> LedgerEntry {
    let amount = u64::from(index * 1_000 + epoch * 100 + interval + 1);
    LedgerEntry {
        key: UsageKey {
            task: TaskId {
                job: JobId(job),
                index,
            },
            epoch: TaskEpoch(epoch),
            boot: 1,
            interval,
        },
        team: format!("team-{}", job % 3).into(),
        service: "service".into(),
        kind: "kind".into(),
        start_ms: 0,
        length_ms: 1_000,
        amount: UsageAmount {
            cpu_milli_seconds: amount,
            memory_mib_seconds: amount * 2,
            accelerator_ms: 0,
        },
    }
}

proptest! {
    #[test]
    fn repeated_and_reordered_entries_change_nothing(
        keys in prop::collection::btree_set((0_u128..4, 0_u32..3, 1_u32..4, 0_u32..5), 1..40),
        repeats in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
        seed in any::<u64>(),
    ) {
        let entries: Vec<LedgerEntry> =
            keys.iter().map(|(job, index, epoch, interval)| entry(*job, *index, *epoch, *interval)).collect();
        let mut once = UsageSum::default();
        entries.iter().for_each(|entry| once.add(entry));
        let mut shuffled: Vec<&LedgerEntry> = entries.iter().collect();
        shuffled.extend(repeats.iter().map(|index| index.get(&entries)));
        fastrand::Rng::with_seed(seed).shuffle(&mut shuffled);
        let mut many = UsageSum::default();
        shuffled.iter().for_each(|entry| many.add(entry));
        prop_assert_eq!(once.rows(), many.rows());
        prop_assert_eq!(once.tasks(), many.tasks());
        prop_assert_eq!(many.repeated(), repeats.len() as u64);
        let by_team: u64 = many.rows().iter().map(|row| row.amount.cpu_milli_seconds).sum();
        let by_task: u64 = many.tasks().values().map(|amount| amount.cpu_milli_seconds).sum();
        prop_assert_eq!(by_team, by_task);
    }
}
