//! Decisions of the placer.
