//! What a front believes of its config on an owner's word.

use platform::StoreClient;
use std::time::Duration;
use wax_owner::PoolShared;
use wax_types::TimePoint;

/// The bound without a setting.
const BOUND: Duration = Duration::from_secs(5);

fn front_with_version(version: u64) -> PoolShared {
    let nowhere = "127.0.0.1:9".parse().expect("an address");
    let shared = PoolShared::new(
        "front",
        nowhere,
        StoreClient::new(nowhere),
        None,
        Duration::ZERO,
    );
    let text = format!(r#"{{"version":{version},"routes":[],"services":[],"limits":{{}}}}"#);
    let taken = shared.offer_config(text.as_bytes(), "a test");
    taken.expect("the config decodes");
    shared
}

macro_rules! word_cases {
    ($($name:ident: version $version:expr, age $age:expr => $is_old:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let front = front_with_version(7);
                let sent = front.now();
                front.note_owners_config($version, sent, $age);
                assert_eq!(front.may_config_be_old(), $is_old);
            }
        )*
    };
}

word_cases! {
    an_owner_with_the_same_config_vouches_for_it: version 7, age Duration::ZERO => false;
    an_owner_with_an_older_config_vouches_for_a_newer_one: version 6, age Duration::ZERO => false;
    an_owner_with_a_newer_config_vouches_for_none: version 8, age Duration::ZERO => true;
    an_owner_that_read_too_long_ago_vouches_for_none: version 7, age BOUND * 2 => true;
}

/// A heartbeat from the future, by a damaged frame, would vouch for a config for ever.
#[test]
fn a_word_counts_from_no_later_than_now() {
    let front = front_with_version(7);
    front.note_owners_config(7, TimePoint(u64::MAX), Duration::ZERO);
    let view = front.config_view.get();
    let later = front.now() + BOUND * 2;
    assert!(view.may_be_stale(later, &front.config_rules));
}
