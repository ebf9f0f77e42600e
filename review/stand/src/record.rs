//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Milliseconds since the start of the case.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes one line with the time.
    pub fn line(&self, text: &str) {
        let now = self.began.elapsed();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} {text}", now.as_secs_f64());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
