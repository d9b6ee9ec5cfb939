//! Reloads the configuration of `olivecart serve` at SIGHUP, without a restart. Changes that are possible at
//! run time take effect at once. An invalid file leaves the old configuration in force.

use crate::config::{Changes, ConfigSource};
use slog::{Logger, info, warn};
use std::convert::Infallible;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Registers for SIGHUP. Unregistered, the signal would end the process and abort its open requests.
pub fn register() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Reloads the file at each SIGHUP and passes the changes to `apply`. Never returns. All signals that arrive
/// during a reload cause one further reload.
pub async fn on_signal(
    mut reload_signal: Signal,
    mut source: ConfigSource,
    apply: impl Fn(&Changes),
    log: Logger,
) -> Infallible {
    loop {
        if reload_signal.recv().await.is_none() {
            std::future::pending::<()>().await; // the runtime is shutting down
        }
        match source.reload() {
            Ok(changes) => {
                info!(log, "configuration reloaded"; "discovery" => %changes.discovery);
                if !changes.at_restart.is_empty() {
                    warn!(log, "configuration changes deferred until restart"; "keys" => ?changes.at_restart);
                }
                apply(&changes);
            }
            Err(error) => warn!(log, "configuration reload rejected"; "error" => %error),
        }
    }
}
