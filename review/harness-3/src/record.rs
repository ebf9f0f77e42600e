//! The record of a run: what was sent, answered and run, with times in milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began_at.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.now_ms());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
