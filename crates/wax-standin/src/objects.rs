//! In-memory object store.

use bytes::Bytes;
use std::collections::BTreeMap;

#[derive(Debug, Default)]
pub(crate) struct MemoryObjects {
    objects: BTreeMap<String, Bytes>,
}

impl MemoryObjects {
    /// Creates an object. Returns `false` without a change if the key exists.
    pub(crate) fn create(&mut self, key: &str, bytes: Bytes) -> bool {
        if self.objects.contains_key(key) {
            return false;
        }
        self.objects.insert(key.into(), bytes);
        true
    }

    pub(crate) fn read(&self, key: &str) -> Option<Bytes> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn list(&self, prefix: &str) -> Vec<String> {
        self.objects
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }
}
