//! Checks what a front concludes from an owner's report about the freshness of the config.

use platform::StoreClient;
use std::time::Duration;
use wax_owner::PoolShared;
use wax_types::TimePoint;

/// Default bound, without a setting.
const BOUND: Duration = Duration::from_secs(5);

fn front_with_version(version: u64) -> PoolShared {
    let unused_address = "127.0.0.1:9".parse().expect("an address");
    let shared = PoolShared::new(
        "front",
        unused_address,
        StoreClient::new(unused_address),
        None,
        Duration::ZERO,
    );
    let text = format!(r#"{{"version":{version},"routes":[],"services":[],"limits":{{}}}}"#);
    let taken = shared.offer_config(text.as_bytes(), "a test");
    taken.expect("the config decodes");
    shared
}

macro_rules! freshness_cases {
    ($($name:ident: version $version:expr, age $age:expr => $is_stale:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let front = front_with_version(7);
                let sent = front.now();
                front.record_owner_config($version, sent, $age);
                assert_eq!(front.may_config_be_stale(), $is_stale);
            }
        )*
    };
}

freshness_cases! {
    owner_with_the_same_version_confirms_the_config: version 7, age Duration::ZERO => false;
    owner_with_an_older_version_confirms_the_config: version 6, age Duration::ZERO => false;
    owner_with_a_newer_version_does_not_confirm_the_config: version 8, age Duration::ZERO => true;
    owner_with_a_stale_reading_does_not_confirm_the_config: version 7, age BOUND * 2 => true;
}

/// A timestamp in the future, as from a damaged frame, would otherwise confirm the config forever.
#[test]
fn future_timestamp_counts_as_now() {
    let front = front_with_version(7);
    front.record_owner_config(7, TimePoint(u64::MAX), Duration::ZERO);
    let view = front.config_view.get();
    let later = front.now() + BOUND * 2;
    assert!(view.may_be_stale(later, &front.config_rules));
}
