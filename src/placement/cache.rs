//! A model of the prompt parts that one engine keeps.

use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    read: bool,
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

    /// Tokens of the leading parts that have been read, so that other engines can
    /// copy them.
    pub fn copyable(&self, parts: &[(u64, u32)]) -> u32 {
        let read = parts.iter().take_while(|(id, _)| self.kept.get(id).is_some_and(|k| k.read));
        read.map(|(_, tokens)| *tokens).sum()
    }

    /// The parts have been read.
    pub fn set_read(&mut self, parts: &[(u64, u32)]) {
        for (id, _) in parts {
            if let Some(kept) = self.kept.get_mut(id) {
                kept.read = true;
            }
        }
    }

    /// The parts have been read, or are about to be: they are kept, and those
    /// unused for longest give way beyond `capacity` tokens.
    pub fn touch(&mut self, parts: &[(u64, u32)], capacity: u64) {
        // Later parts are useless without earlier ones, so those go first.
        for (id, tokens) in parts.iter().rev() {
            self.uses += 1;
            let read = self.kept.get(id).is_some_and(|k| k.read);
            let kept = Kept { tokens: *tokens, used: self.uses, read };
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
