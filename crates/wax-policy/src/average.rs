//! A mean that forgets.

/// Exponentially decayed mean over about `memory` samples; exact over the first ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayedMean {
    window: f64,
    samples: f64,
    mean: f64,
}

impl DecayedMean {
    /// An empty mean.
    pub const fn new(window: f64) -> Self {
        Self {
            window,
            samples: 0.0,
            mean: 0.0,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(self.window);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// The mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// How many samples count, at most the memory.
    pub fn samples(&self) -> f64 {
        self.samples
    }
}
