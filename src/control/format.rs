//! How the agreed state and agreed commands are written: the number of their format
//! stands in front, so that what another release wrote is told apart and never misread.

use postcard::Error as Codec;
use serde::de::DeserializeOwned;

use super::legacy;
use super::state::{Command, State};
use crate::error::{Error, Result};

/// The format that this release writes. It rises with every change of what the state or
/// a command holds. Commands without a format begin with their kind's number, far below.
const FORMAT: u8 = 0x83;
/// What the release before wrote.
const FORMAT_BEFORE: u8 = 0x82;
/// What the release before that wrote. Its commands are all among those of the one before.
const FORMAT_WITHOUT_QUARANTINE: u8 = 0x81;
/// The lowest byte that can only be a format.
const LOWEST_FORMAT: u8 = 0x80;
/// Stands before the format of a state. A state without one begins with a number in at
/// most ten bytes, which these nine and a format after them cannot be.
const MARK: [u8; 9] = [0xff; 9];

/// A state as snapshots hold it.
pub fn encode_state(state: &State) -> Result<Vec<u8>> {
    encode(&(MARK, FORMAT, state))
}

/// The state in a snapshot at `index`; nothing agreed yet where the snapshot is empty.
pub fn decode_state(data: &[u8], index: u64) -> Result<State> {
    if data.is_empty() {
        return Ok(State::default());
    }
    let read = match data.strip_prefix(&MARK) {
        Some(&[FORMAT_BEFORE, ref before @ ..]) => {
            whole(before).map(legacy::StateBefore::into_today).map_err(Cause::Codec)
        }
        Some(&[FORMAT_WITHOUT_QUARANTINE, ref before @ ..]) => {
            whole(before).map(legacy::StateWithoutQuarantine::into_today).map_err(Cause::Codec)
        }
        Some(formatted) => decode(formatted),
        None => whole(data).map(legacy::State::into_today).map_err(Cause::Codec),
    };
    read.map_err(|cause| unreadable("the snapshot", index, &cause))
}

/// A command as the log holds it.
pub fn encode_command(command: &Command) -> Result<Vec<u8>> {
    encode(&(FORMAT, command))
}

/// The command in the log at `index`.
pub fn decode_command(data: &[u8], index: u64) -> Result<Command> {
    let read = match data.first() {
        Some(&(FORMAT_BEFORE | FORMAT_WITHOUT_QUARANTINE)) => whole(&data[1..])
            .map(legacy::Command::<legacy::DocumentBefore>::into_today)
            .map_err(Cause::Codec),
        Some(&(LOWEST_FORMAT..)) => decode(data),
        _ => whole(data)
            .map(legacy::Command::<legacy::DocumentAnywhere>::into_today)
            .map_err(Cause::Codec),
    };
    read.map_err(|cause| unreadable("the agreed command", index, &cause))
}

/// Why something cannot be read.
enum Cause {
    OtherFormat(u8),
    Codec(Codec),
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|source| Error::Frame { source })
}

/// A value behind its format.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Cause> {
    match bytes.split_first() {
        Some((&FORMAT, value)) => whole(value).map_err(Cause::Codec),
        Some((&other, _)) => Err(Cause::OtherFormat(other)),
        None => Err(Cause::Codec(Codec::DeserializeUnexpectedEnd)),
    }
}

/// A value that takes up all bytes: with some left over, something else was written.
fn whole<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Codec> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(Codec::DeserializeBadEncoding),
    }
}

fn unreadable(what: &str, index: u64, cause: &Cause) -> Error {
    let cause = match cause {
        Cause::OtherFormat(theirs) => format!("has format {theirs}, this release reads {FORMAT}"),
        Cause::Codec(error) => format!("does not decode ({error})"),
    };
    Error::Unreadable { what: format!("{what} at entry {index}"), cause }
}
