//! Not a case: a large timed job whose occurrences are all due when it is handed in. Prints how many ends the
//! system takes note of, and how many of 60 small jobs complete. Arguments: record file, occurrences, run time.

use review_stand::record::Record;
use review_stand::site::{Site, config};
use serde_json::json;
use std::process::exit;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

fn main() {
    let count: u64 = std::env::args().nth(2).and_then(|text| text.parse().ok()).unwrap_or(9_000);
    let ms: u64 = std::env::args().nth(3).and_then(|text| text.parse().ok()).unwrap_or(200);
    let path = std::env::args().nth(1).unwrap_or("record.txt".into());
    let record = Arc::new(Record::create(&path));
    let capacity = json!({ "cpu": 16000, "memMb": 64000, "gpu": 0 });
    let site = Site::start(record.clone(), 3, 11, &config(3, &["/g/"]), capacity, Duration::from_micros(500));
    if !site.wait_ready(Duration::from_secs(20)) {
        drop(site);
        exit(2);
    }
    sleep(Duration::from_secs(3));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let spec = json!({ "steps": [{ "ms": ms }] }).to_string();
    let large = json!({ "spec": spec, "repeatCount": count, "intervalMs": 1000, "startAtMs": now - count * 1000,
        "phases": [{ "count": 1, "cpu": 200, "memMb": 64, "estimatedMs": 200 }] });
    site.submit(0, "/g/5c0e7a2100000000", &large.to_string());
    let small = json!({ "spec": "{\"steps\":[{\"ms\":200}]}", "phases": [{ "count": 3, "cpu": 200, "memMb": 64, "estimatedMs": 200 }] });
    let mut others = Vec::new();
    for number in 1..=60_u64 {
        let path = format!("/g/{:016x}", 0x5c0e_7a21_0000_0000 + number);
        if site.submit(number as usize % 3, &path, &small.to_string()) {
            others.push(path);
        }
        sleep(Duration::from_millis(500));
        if number % 10 == 0 {
            let spans = site.fleet.spans();
            let done = spans.iter().filter(|span| span.ended.is_some()).count();
            let acked = spans.iter().filter(|span| span.acked_ms.is_some()).count();
            let listed: Vec<usize> = (0..11).map(|worker| site.fleet.listed(worker)).collect();
            println!("{} ms: {} runs, {done} ended, {acked} noted, listed {listed:?}", record.now_ms(), spans.len());
        }
    }
    sleep(Duration::from_secs(20));
    println!("large: {:?}", site.state("/g/5c0e7a2100000000"));
    let states: Vec<_> = others.iter().map(|path| site.state(path)).collect();
    let completed = states.iter().filter(|state| state.as_deref() == Some("completed")).count();
    println!("others: {completed} of {} completed", others.len());
}
