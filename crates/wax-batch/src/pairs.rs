//! How much tasks of one image press on tasks of another, learned from tails.

use std::collections::HashMap;

/// What is known of a pair of images.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct PairPress {
    /// By what share the tail of the serving image grows for each core that the filling image uses.
    pub per_core: f64,
    /// How many observations bear it out.
    pub weight: f64,
}

/// Observations beyond this count no more, so that what changes is followed.
const MOST_WEIGHT: f64 = 200.0;

/// What is known of all pairs: the image that serves, then the one that fills.
#[derive(Debug, Clone, Default)]
pub struct PairTable {
    pairs: HashMap<(Box<str>, Box<str>), PairPress>,
}

impl PairTable {
    /// What is known of a pair.
    pub fn get(&self, serving: &str, filling: &str) -> PairPress {
        let key = (Box::from(serving), Box::from(filling));
        self.pairs.get(&key).copied().unwrap_or_default()
    }

    /// Merges what somebody else has learned; says what is known now.
    pub fn merge(&mut self, serving: &str, filling: &str, other: PairPress) -> PairPress {
        let key = (Box::from(serving), Box::from(filling));
        let known = self.pairs.entry(key).or_default();
        let weight = known.weight + other.weight;
        if weight > 0.0 {
            let sum = known.per_core * known.weight + other.per_core * other.weight;
            known.per_core = sum / weight;
            known.weight = weight.min(MOST_WEIGHT);
        }
        *known
    }

    /// Sets what is known of a pair.
    pub fn set(&mut self, serving: &str, filling: &str, press: PairPress) {
        self.pairs.insert((serving.into(), filling.into()), press);
    }

    /// All pairs.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str, PairPress)> {
        let pairs = self.pairs.iter();
        pairs.map(|((serving, filling), press)| (&**serving, &**filling, *press))
    }
}
