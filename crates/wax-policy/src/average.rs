//! Exponentially decayed mean.

/// Mean that weighs each new sample by one over the number of samples, at most `window`: exact over
/// the first `window` samples, exponentially decayed after that.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DecayedMean {
    window: f64,
    samples: f64,
    mean: f64,
}

impl DecayedMean {
    /// Creates a mean without samples.
    pub const fn new(window: f64) -> Self {
        Self {
            window,
            samples: 0.0,
            mean: 0.0,
        }
    }

    /// Adds a sample to the mean.
    pub fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(self.window);
        self.mean += (sample - self.mean) / self.samples;
    }

    /// Returns the mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.mean
    }

    /// Returns the number of samples that the mean stands for, at most the window.
    pub fn samples(&self) -> f64 {
        self.samples
    }
}
