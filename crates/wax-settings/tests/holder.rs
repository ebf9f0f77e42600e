//! A process applies only greater versions, in whatever order they come.

use proptest::prelude::*;
use wax_settings::{ApplyChoice, NodePath, NodeSettings, SettingsHolder, SettingsTree, TreeDelta};
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
        let mut greatest = 0;
        for version in arrivals {
            let choice = holder.apply(tree(version));
            let applied = choice == ApplyChoice::Applied(SettingsVersion(version));
            prop_assert_eq!(applied, version > greatest);
            greatest = greatest.max(version);
            prop_assert_eq!(holder.version(), SettingsVersion(greatest));
        }
    }

    #[test]
    fn a_delta_makes_the_tree_that_it_was_made_from(weights in prop::collection::vec(1_u32..100, 1..8)) {
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
            let made = before.with_delta(&delta);
            prop_assert_eq!(&made.nodes, &after.nodes);
            prop_assert_eq!(made.version, before.version.next());
            before = made;
        }
    }

    #[test]
    fn hostile_bytes_are_unreadable_and_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let holder = SettingsHolder::default();
        holder.apply(tree(3));
        holder.apply_json(&bytes);
        holder.apply_delta_json(&bytes);
        prop_assert_eq!(holder.version(), SettingsVersion(3));
    }
}

#[test]
fn a_delta_with_a_gap_is_not_applied() {
    let holder = SettingsHolder::default();
    holder.apply(tree(3));
    let delta = TreeDelta {
        version: SettingsVersion(5),
        nodes: Vec::new(),
        author: "test".into(),
        at_ms: 0,
    };
    assert_eq!(holder.apply_delta(&delta), ApplyChoice::Gap);
    assert_eq!(holder.version(), SettingsVersion(3));
}

#[test]
fn levels_inherit_what_they_do_not_override() {
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
