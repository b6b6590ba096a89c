//! Checks of values, and defaults, that several blocks use.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytesize::ByteSize;

/// The default of keys that enable a function.
pub(crate) fn default_true() -> bool {
    true
}

/// Accepts a path that is not empty.
pub(crate) fn non_empty_path(path: &Path, _: &()) -> garde::Result {
    if path.as_os_str().is_empty() {
        Err(garde::Error::new("must not be empty"))
    } else {
        Ok(())
    }
}

/// Accepts an address with a port.
pub(crate) fn socket_address(text: &str, _: &()) -> garde::Result {
    if text.parse::<SocketAddr>().is_ok() {
        Ok(())
    } else {
        Err(garde::Error::new(format!(
            "'{text}' is not an address with a port"
        )))
    }
}

/// Accepts a list without duplicates.
pub(crate) fn unique_names(names: &[String], _: &()) -> garde::Result {
    let mut sorted = names.to_vec();
    sorted.sort();
    sorted.dedup();
    if sorted.len() == names.len() {
        Ok(())
    } else {
        Err(garde::Error::new("a name occurs more than once"))
    }
}

/// Accepts durations from `min` to `max`.
pub(crate) fn duration_between(
    min: Duration,
    max: Duration,
) -> impl FnOnce(&Duration, &()) -> garde::Result {
    move |value, _| {
        let out_of_range =
            || garde::Error::new(format!("{value:?} is not between {min:?} and {max:?}"));
        if (min..=max).contains(value) {
            Ok(())
        } else {
            Err(out_of_range())
        }
    }
}

/// Accepts sizes from `min` to `max`.
pub(crate) fn size_between(
    min: ByteSize,
    max: ByteSize,
) -> impl FnOnce(&ByteSize, &()) -> garde::Result {
    move |value, _| {
        let out_of_range = || garde::Error::new(format!("{value} is not between {min} and {max}"));
        if (min..=max).contains(value) {
            Ok(())
        } else {
            Err(out_of_range())
        }
    }
}
