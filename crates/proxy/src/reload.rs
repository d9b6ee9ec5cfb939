//! A new configuration while all runs on: SIGHUP reads the file again. What can change at once does, and a
//! file that is no good leaves the old one in force.

use crate::config::{Changes, ConfigSource};
use slog::{Logger, info, warn};
use std::convert::Infallible;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Registers for SIGHUP. Danger: unregistered, the signal ends the program and all that it had taken.
pub fn register() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reads the file again at each SIGHUP, for good, and has what it brings adopted. Signals that come during a
/// reading are one more reading.
pub async fn on_signal(
    mut hang_up: Signal,
    mut origin: ConfigSource,
    adopt: impl Fn(&Changes),
    log: Logger,
) -> Infallible {
    loop {
        if hang_up.recv().await.is_none() {
            std::future::pending::<()>().await; // the runtime is going
        }
        match origin.reload() {
            Ok(changes) => {
                info!(log, "configuration reloaded"; "discovery" => %changes.discovery);
                if !changes.at_start.is_empty() {
                    warn!(log, "configuration changes deferred until restart"; "keys" => ?changes.at_start);
                }
                adopt(&changes);
            }
            Err(error) => warn!(log, "configuration reload rejected"; "error" => %error),
        }
    }
}
