//! Encodes and decodes the agreed state and agreed commands. A format number comes first, so
//! that data of another release is recognized and never misread.

use postcard::Error as Codec;
use serde::de::DeserializeOwned;

use super::legacy;
use super::state::{Command, State};
use crate::error::{Error, Result};
use crate::quarantine::Verdict;

/// The format that this release writes. It is raised with every change to the contents of the
/// state or of a command. Commands of the first release have no format number and begin with
/// the index of their variant, which is below `MIN_FORMAT`.
const FORMAT: u8 = 0x85;
/// The format of the previous release, which did not tell an empty list of customers from a
/// missing one.
const FORMAT_WITHOUT_CALLERS: u8 = 0x84;
/// The format of the release before that, which could blame nothing but requests for crashes.
const FORMAT_WITHOUT_SUSPECTS: u8 = 0x83;
/// The format of the release before that, whose services had no health path either.
const FORMAT_WITHOUT_HEALTH_PATH: u8 = 0x82;
/// The format of the release before that, which had no quarantine at all. Its commands are a
/// subset of those of the next one.
const FORMAT_WITHOUT_QUARANTINE: u8 = 0x81;
/// The lowest format number; a lower first byte of a command is the index of its variant.
const MIN_FORMAT: u8 = 0x80;
/// Precedes the format number of a state. A state without a format number begins with a
/// variable-length integer of at most ten bytes, which cannot consist of these nine bytes and a
/// format number.
const STATE_PREFIX: [u8; 9] = [0xff; 9];

/// Encodes a state for a snapshot.
pub fn encode_state(state: &State) -> Result<Vec<u8>> {
    encode(&(STATE_PREFIX, FORMAT, state))
}

/// Decodes the state in the snapshot at entry `index`. An empty snapshot is the initial state.
pub fn decode_state(data: &[u8], index: u64) -> Result<State> {
    if data.is_empty() {
        return Ok(State::default());
    }
    let decoded = match data.strip_prefix(&STATE_PREFIX) {
        Some(&[FORMAT_WITHOUT_CALLERS, ref state @ ..]) => {
            decode_all(state).map(legacy::StateWithoutCallers::into_current).map_err(Cause::Codec)
        }
        Some(&[FORMAT_WITHOUT_SUSPECTS, ref state @ ..]) => {
            decode_all(state).map(legacy::StateWithoutSuspects::into_current).map_err(Cause::Codec)
        }
        Some(&[FORMAT_WITHOUT_HEALTH_PATH, ref state @ ..]) => decode_all(state)
            .map(legacy::StateWithoutHealthPath::into_current)
            .map_err(Cause::Codec),
        Some(&[FORMAT_WITHOUT_QUARANTINE, ref state @ ..]) => decode_all(state)
            .map(legacy::StateWithoutQuarantine::into_current)
            .map_err(Cause::Codec),
        Some(formatted) => decode(formatted),
        None => decode_all(data).map(legacy::UnformattedState::into_current).map_err(Cause::Codec),
    };
    decoded.map_err(|cause| unreadable("the snapshot", index, &cause))
}

/// Encodes a command for the log.
pub fn encode_command(command: &Command) -> Result<Vec<u8>> {
    encode(&(FORMAT, command))
}

/// Decodes the command in the log at entry `index`.
pub fn decode_command(data: &[u8], index: u64) -> Result<Command> {
    let decoded = match data.first() {
        Some(&FORMAT_WITHOUT_CALLERS) => decode_all(&data[1..])
            .map(legacy::Command::<legacy::DocumentWithoutCallers, Verdict>::into_current)
            .map_err(Cause::Codec),
        Some(&FORMAT_WITHOUT_SUSPECTS) => decode_all(&data[1..])
            .map(legacy::Command::<legacy::DocumentWithoutCallers>::into_current)
            .map_err(Cause::Codec),
        Some(&(FORMAT_WITHOUT_HEALTH_PATH | FORMAT_WITHOUT_QUARANTINE)) => decode_all(&data[1..])
            .map(legacy::Command::<legacy::DocumentWithoutHealthPath>::into_current)
            .map_err(Cause::Codec),
        Some(&(MIN_FORMAT..)) => decode(data),
        _ => decode_all(data)
            .map(legacy::Command::<legacy::DocumentWithoutRegions>::into_current)
            .map_err(Cause::Codec),
    };
    decoded.map_err(|cause| unreadable("the agreed command", index, &cause))
}

/// Why data cannot be decoded.
enum Cause {
    OtherFormat(u8),
    Codec(Codec),
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>> {
    postcard::to_stdvec(value).map_err(|source| Error::Frame { source })
}

/// Decodes a value that follows the current format number.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Cause> {
    match bytes.split_first() {
        Some((&FORMAT, value)) => decode_all(value).map_err(Cause::Codec),
        Some((&other, _)) => Err(Cause::OtherFormat(other)),
        None => Err(Cause::Codec(Codec::DeserializeUnexpectedEnd)),
    }
}

/// Decodes a value that takes up all bytes; bytes left over mean that the data is something else.
fn decode_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Codec> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        _ => Err(Codec::DeserializeBadEncoding),
    }
}

fn unreadable(what: &str, index: u64, cause: &Cause) -> Error {
    let cause = match cause {
        Cause::OtherFormat(found) => format!("has format {found}, this release reads {FORMAT}"),
        Cause::Codec(error) => format!("does not decode ({error})"),
    };
    Error::Unreadable { what: format!("{what} at entry {index}"), cause }
}
