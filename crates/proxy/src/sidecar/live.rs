//! A new configuration while all runs on: SIGHUP reads the file again. It is checked as a whole, and one that is no
//! good leaves the old one in force; what can change at once does, and the rest is said by its keys.

use super::application::Limit;
use super::settings::shares;
use crate::config::Sockets;
use crate::listen::AcceptControl;
use olivecart_config::diff::{TakesEffect, edits};
use olivecart_config::resolve::{Environment, MAX_REQUESTS};
use olivecart_config::types::Proxy;
use slog::{Logger, info, warn};
use std::path::PathBuf;
use std::rc::Rc;
use tokio::signal::unix::Signal;

/// What can change while the sidecar serves.
pub struct Live {
    /// The file.
    pub path: PathBuf,
    /// What was set besides it.
    pub environment: Environment,
    /// What is in force.
    pub proxy: Proxy,
    /// The inbound listener, and the limit of the application behind it.
    pub inbound: Option<(Rc<AcceptControl>, Rc<Limit>)>,
    /// The outbound ones.
    pub outbound: Vec<Rc<AcceptControl>>,
    /// For the operators.
    pub log: Logger,
}

impl Live {
    /// Reads the file again at each signal, for good.
    pub async fn follow(mut self, mut signal: Signal) {
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
        let waits: Vec<&str> = edits
            .iter()
            .filter(|edit| edit.takes_effect == TakesEffect::AtRestart)
            .map(|edit| edit.key.as_str())
            .collect();
        if !waits.is_empty() {
            warn!(self.log, "configuration changes deferred until restart"; "keys" => waits.join(", "));
        }
        self.proxy.settings.client_connections = new.settings.client_connections;
        let shares = shares(&self.proxy);
        let sockets = |clients| Sockets { clients, backends: 0 };
        self.outbound.iter().for_each(|control| control.set_limits(sockets(shares.outbound)));
        let most = new.inbound.as_ref().and_then(|inbound| inbound.max_requests);
        if let (Some((control, limit)), Some(inbound)) = (&self.inbound, &mut self.proxy.inbound) {
            control.set_limits(sockets(shares.inbound));
            limit.set(most.unwrap_or(MAX_REQUESTS)).await;
            inbound.max_requests = most;
        }
        info!(self.log, "configuration reloaded"; "live" => edits.len() - waits.len());
    }
}
