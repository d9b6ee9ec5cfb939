//! Reloads the configuration of the sidecar at SIGHUP, without a restart. The file is checked as a whole, and
//! an invalid file leaves the old configuration in force. Changes that are possible at run time take effect
//! at once. The keys of the other changes are logged.

use super::application::RequestLimit;
use super::settings::divide_descriptors;
use crate::config::Sockets;
use crate::listen::AcceptControl;
use olivecart_config::diff::{TakesEffect, edits};
use olivecart_config::resolve::{Environment, MAX_REQUESTS};
use olivecart_config::types::Proxy;
use slog::{Logger, info, warn};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// The configuration in force, and the parts that a reload can change.
pub struct ReloadableConfig {
    /// The path of the configuration file.
    pub path: PathBuf,
    /// The environment variables that override settings.
    pub environment: Environment,
    /// The configuration in force.
    pub proxy: Proxy,
    /// The inbound listener, and the request limit of the application behind it.
    pub inbound: Option<(Rc<AcceptControl>, Rc<RequestLimit>)>,
    /// The outbound listeners.
    pub outbound: Vec<Rc<AcceptControl>>,
    /// The log.
    pub log: Logger,
}

impl ReloadableConfig {
    /// Reloads the file at each signal.
    pub async fn reload_on_signal(mut self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            self.reload().await;
        }
    }

    async fn reload(&mut self) {
        let new = match super::read(&self.path, &self.environment) {
            Ok((_, resolved)) => resolved.proxy,
            Err(error) => return warn!(self.log, "configuration reload rejected"; "error" => %error),
        };
        let edits = edits(&self.proxy, &new);
        let deferred: Vec<&str> = edits
            .iter()
            .filter(|edit| edit.takes_effect == TakesEffect::AtRestart)
            .map(|edit| edit.key.as_str())
            .collect();
        if !deferred.is_empty() {
            warn!(self.log, "configuration changes deferred until restart"; "keys" => deferred.join(", "));
        }
        self.proxy.settings.client_connections = new.settings.client_connections;
        let shares = divide_descriptors(&self.proxy);
        let sockets = |clients| Sockets { clients, backends: 0 };
        self.outbound.iter().for_each(|control| control.set_limits(sockets(shares.outbound)));
        let max_requests = new.inbound.as_ref().and_then(|inbound| inbound.max_requests);
        if let (Some((control, limit)), Some(inbound)) = (&self.inbound, &mut self.proxy.inbound) {
            control.set_limits(sockets(shares.inbound));
            limit.set(max_requests.unwrap_or(MAX_REQUESTS)).await;
            inbound.max_requests = max_requests;
        }
        info!(self.log, "configuration reloaded"; "applied" => edits.len() - deferred.len());
    }
}
