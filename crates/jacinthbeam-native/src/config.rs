//! The operators' configuration in the store: the accepted files and what they say, as one record.

use jacinthbeam_config::fold::State;
use jacinthbeam_route::Config;

/// The record of a state.
pub fn write(state: &State) -> Vec<u8> {
    serde_json::to_vec(state).expect("files and numbers can always be written")
}

/// Reads the record back.
pub fn state(bytes: &[u8]) -> Result<State, String> {
    serde_json::from_slice(bytes).map_err(|err| err.to_string())
}

/// The configuration that a record brings into force.
pub fn read(bytes: &[u8]) -> Result<Config, String> {
    Ok(Config::clone(state(bytes)?.config()))
}
