//! What was sent, answered and run, in the order in which it was seen.

use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn text(&self) -> String {
        self.lines.lock().unwrap().join("\n") + "\n"
    }
}

/// Draws a number below `limit`.
pub fn draw(limit: u64) -> u64 {
    use std::cell::Cell;
    thread_local! { static STATE: Cell<u64> = const { Cell::new(0) }; }
    STATE.with(|state| {
        let mut x = state.get();
        if x == 0 {
            let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            x = now.map_or(1, |span| span.as_nanos() as u64) | 1;
        }
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        state.set(x);
        (x >> 11) % limit.max(1)
    })
}
