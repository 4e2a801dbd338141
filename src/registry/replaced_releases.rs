//! The releases that one start of an endpoint ran before, where its software changes in place.

/// Releases that are kept for one start.
const MAX_RELEASES: usize = 4;

/// A release whose place other software has taken.
#[derive(Clone, Debug)]
struct ReplacedRelease {
    version: String,
    /// The highest sequence number recorded of it.
    sequence: u64,
}

/// The releases that were replaced, the latest last.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplacedReleases(Vec<ReplacedRelease>);

impl ReplacedReleases {
    /// Records that `version`, whose highest sequence number was `sequence`, was replaced.
    pub fn record(&mut self, version: &str, sequence: u64) {
        self.forget(version);
        if self.0.len() == MAX_RELEASES {
            self.0.remove(0);
        }
        self.0.push(ReplacedRelease { version: version.to_string(), sequence });
    }

    /// Removes a release that runs again.
    pub fn forget(&mut self, version: &str) {
        self.0.retain(|release| release.version != version);
    }

    /// The highest sequence number recorded of a release that was replaced.
    pub fn sequence_of(&self, version: &str) -> Option<u64> {
        let release = self.0.iter().find(|release| release.version == version);
        release.map(|release| release.sequence)
    }
}
