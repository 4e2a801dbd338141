//! A model of the prompt parts that one engine keeps.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
}

/// Prompt parts in order of their last use.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    kept: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl PartCache {
    /// Tokens of the leading parts that are kept.
    pub fn matched(&self, parts: &[(u64, u32)]) -> u32 {
        let kept = parts.iter().take_while(|(id, _)| self.kept.contains_key(id));
        kept.map(|(_, tokens)| *tokens).sum()
    }

    /// The parts have been read, or are about to be: they are kept, and those
    /// unused for longest give way beyond `capacity` tokens.
    pub fn touch(&mut self, parts: &[(u64, u32)], capacity: u64) {
        // Later parts are useless without earlier ones, so those go first.
        for (id, tokens) in parts.iter().rev() {
            self.uses += 1;
            let kept = Kept { tokens: *tokens, used: self.uses };
            if let Some(before) = self.kept.insert(*id, kept) {
                self.by_use.remove(&before.used);
                self.tokens -= u64::from(before.tokens);
            }
            self.by_use.insert(self.uses, *id);
            self.tokens += u64::from(*tokens);
        }
        while self.tokens > capacity {
            let Some((_, id)) = self.by_use.pop_first() else { return };
            if let Some(gone) = self.kept.remove(&id) {
                self.tokens -= u64::from(gone.tokens);
            }
        }
    }
}
