//! A process must apply only higher versions of the settings tree, in whatever order versions
//! arrive. Otherwise a delayed message from a slow peer would revert a newer change.

use proptest::prelude::*;
use wax_settings::{ApplyOutcome, NodePath, NodeSettings, SettingsHolder, SettingsTree, TreeDelta};
use wax_types::SettingsVersion;

fn tree(version: u64) -> SettingsTree {
    let mut tree = SettingsTree {
        version: SettingsVersion(version),
        ..SettingsTree::default()
    };
    let settings = NodeSettings {
        weight: Some(version as u32 + 1),
        ..NodeSettings::default()
    };
    tree.nodes.insert(NodePath::root(), settings);
    tree
}

proptest! {
    #[test]
    fn no_order_of_arrival_reverts_a_version(arrivals in prop::collection::vec(0_u64..20, 1..40)) {
        let holder = SettingsHolder::default();
        let mut highest = 0;
        for version in arrivals {
            let choice = holder.apply(tree(version));
            let applied = choice == ApplyOutcome::Applied(SettingsVersion(version));
            prop_assert_eq!(applied, version > highest);
            highest = highest.max(version);
            prop_assert_eq!(holder.version(), SettingsVersion(highest));
        }
    }

    #[test]
    fn applying_a_delta_reproduces_the_target_tree(weights in prop::collection::vec(1_u32..100, 1..8)) {
        let mut before = SettingsTree::default();
        for (index, weight) in weights.iter().enumerate() {
            let mut after = before.clone();
            let path = NodePath::team(&format!("team-{}", index % 3));
            if index % 4 == 3 {
                after.nodes.remove(&path);
            } else {
                let settings = NodeSettings { weight: Some(*weight), ..NodeSettings::default() };
                after.nodes.insert(path, settings);
            }
            let delta = before.delta_to(&after, "test", 0);
            let rebuilt = before.with_delta(&delta);
            prop_assert_eq!(&rebuilt.nodes, &after.nodes);
            prop_assert_eq!(rebuilt.version, before.version.next());
            before = rebuilt;
        }
    }

    #[test]
    fn invalid_bytes_leave_the_settings_unchanged(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let holder = SettingsHolder::default();
        holder.apply(tree(3));
        holder.apply_json(&bytes);
        holder.apply_delta_json(&bytes);
        prop_assert_eq!(holder.version(), SettingsVersion(3));
    }
}

#[test]
fn a_delta_that_skips_a_version_is_not_applied() {
    let holder = SettingsHolder::default();
    holder.apply(tree(3));
    let delta = TreeDelta {
        version: SettingsVersion(5),
        nodes: Vec::new(),
        author: "test".into(),
        at_ms: 0,
    };
    assert_eq!(holder.apply_delta(&delta), ApplyOutcome::Gap);
    assert_eq!(holder.version(), SettingsVersion(3));
}

#[test]
fn nodes_inherit_values_that_they_do_not_override() {
    let mut tree = SettingsTree::default();
    let set = |tree: &mut SettingsTree, path: &str, key: &str, value: u64| {
        let path = path.parse().expect("a path");
        tree.set(&path, key, Some(value.into())).expect("accepted");
    };
    set(&mut tree, "/", "deadline_ms", 900);
    set(&mut tree, "/team", "weight", 7);
    set(&mut tree, "/team/service", "deadline_ms", 300);
    set(&mut tree, "/team/service/kinds/kind", "cpu_milli", 50);
    let kind = tree.resolve(&"/team/service/kinds/kind".parse().expect("a path"));
    assert_eq!(
        (kind.deadline_ms, kind.weight, kind.cpu_milli),
        (300, 7, 50)
    );
    let team = tree.resolve(&NodePath::team("team"));
    assert_eq!((team.deadline_ms, team.cpu_milli), (900, 1_000));
}
