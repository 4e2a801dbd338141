//! The list of all routers of the fleet, which control hosts make from heartbeats.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::View;
use crate::wire::{HostId, Role};

/// A router of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedRouter {
    /// The router.
    pub host: HostId,
    /// Its address for peers.
    pub peer: SocketAddr,
    /// Its data hall, as an index of [`RouterDirectory::halls`].
    pub hall: u16,
}

/// The live routers that are not in a planned stop, by host number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterDirectory {
    /// The names of the data halls.
    pub halls: Vec<String>,
    /// The routers.
    pub routers: Vec<ListedRouter>,
}

/// A control host's answer to a router that requests the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DirectoryAnswer {
    /// The requester has the current one.
    Current,
    /// The current one.
    Changed(RouterDirectory),
}

impl RouterDirectory {
    /// The routers of a view.
    pub fn of(view: &View) -> RouterDirectory {
        let members = || view.with_role(Role::Router).filter(|member| !member.draining);
        let mut halls: Vec<String> = members().map(|member| member.hall.clone()).collect();
        halls.sort_unstable();
        halls.dedup();
        let hall = |name: &String| halls.binary_search(name).unwrap_or_default() as u16;
        let listed = |member: &crate::wire::Heartbeat| ListedRouter {
            host: member.host,
            peer: member.peer,
            hall: hall(&member.hall),
        };
        let routers = members().map(listed).collect();
        RouterDirectory { halls, routers }
    }

    /// Identifies the contents.
    pub fn digest(&self) -> u64 {
        // Encoding into memory fails for no value of this type.
        xxh3_64(&postcard::to_stdvec(self).unwrap_or_default())
    }

    /// The answer to a router whose directory has this digest.
    pub fn answer(self, digest: u64) -> DirectoryAnswer {
        match self.digest() == digest {
            true => DirectoryAnswer::Current,
            false => DirectoryAnswer::Changed(self),
        }
    }

    /// The index of a data hall, if a router is listed there.
    pub fn hall_index(&self, name: &str) -> Option<u16> {
        self.halls.iter().position(|hall| hall == name).map(|at| at as u16)
    }
}
