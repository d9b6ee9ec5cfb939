//! Decides which process listens, accepts connections and shares limits during a hot restart: a state machine
//! without I/O.
//!
//! A process has at most one predecessor and one successor. It only needs to know whether they are connected
//! and whether the successor is ready. [`super::HotRestart`] passes in the events and performs the actions.

/// An endpoint that an operator detached or attached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManualChange {
    /// The endpoint with this id was detached.
    Detach(String),
    /// The endpoint with this id was attached.
    Attach(String),
}

/// The other process of a hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process that this one takes over from.
    Predecessor,
    /// The process that takes over from this one.
    Successor,
}

/// An event that the state machine handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process is ready to serve.
    Ready,
    /// The ready message was written to the predecessor, which will read it even if this process ends.
    ReadySent,
    /// A successor has connected.
    SuccessorConnected,
    /// The successor is ready to serve.
    SuccessorReady,
    /// The other process or the connection to it has ended.
    PeerDisconnected(Peer),
    /// This process has begun to shut down.
    ShutdownStarted,
    /// An operator made a change on this process.
    LocalChange(ManualChange),
    /// The other process reported a change that an operator made there.
    PeerChange(Peer, ManualChange),
}

/// An action that the caller has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Listen for successors from now on.
    Listen,
    /// Send the state to the successor.
    SendState,
    /// Reject a connecting successor because there is one already.
    RejectSuccessor,
    /// Start accepting client connections, or leave them to the successor.
    SetAccepting(bool),
    /// Use an equal share of the limits, which are divided among this many processes.
    ShareLimits(u32),
    /// Notify the predecessor that this process is ready.
    SendReady,
    /// Apply an operator's change to this process.
    ApplyChange(ManualChange),
    /// Send an operator's change to the other process.
    SendChange(Peer, ManualChange),
}

/// The state of the hot restart from the view of one process.
#[derive(Clone, Debug)]
pub struct RestartState {
    has_predecessor: bool,
    successor: Option<SuccessorState>,
    is_listening: bool,
    /// Whether this process began to shut down after a successor had replaced it.
    shuts_down_replaced: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuccessorState {
    Starting,
    Ready,
}

impl RestartState {
    /// Returns the state of a process that has just started, and its first actions.
    pub fn start(has_predecessor: bool) -> (RestartState, Vec<Action>) {
        let state = RestartState {
            has_predecessor,
            successor: None,
            is_listening: !has_predecessor,
            shuts_down_replaced: false,
        };
        let first = if has_predecessor { Action::ShareLimits(state.process_count()) } else { Action::Listen };
        (state, vec![first])
    }

    /// Whether the successor serves in place of this process.
    pub fn is_replaced(&self) -> bool {
        self.successor == Some(SuccessorState::Ready)
    }

    fn process_count(&self) -> u32 {
        1 + u32::from(self.has_predecessor) + u32::from(self.successor.is_some())
    }

    /// Returns [`Action::Listen`] unless this process listens already. A process must not listen before it is
    /// ready: if it never became ready, the next process could not reach the one that serves.
    fn listen_once(&mut self) -> Option<Action> {
        (!std::mem::replace(&mut self.is_listening, true)).then_some(Action::Listen)
    }

    /// Handles one event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            // Listens only after the ready message was sent. If this process listened earlier and died before
            // sending the message, no process would listen, and the next one would bind the address instead
            // of taking it over.
            Event::Ready if self.has_predecessor => vec![Action::SendReady],
            Event::Ready | Event::ReadySent => self.listen_once().into_iter().collect(),
            Event::SuccessorConnected if self.successor.is_some() => vec![Action::RejectSuccessor],
            Event::SuccessorConnected => {
                self.successor = Some(SuccessorState::Starting);
                vec![Action::ShareLimits(self.process_count()), Action::SendState]
            }
            Event::SuccessorReady if self.successor == Some(SuccessorState::Starting) => {
                self.successor = Some(SuccessorState::Ready);
                vec![Action::SetAccepting(false)]
            }
            Event::SuccessorReady => Vec::new(),
            Event::PeerDisconnected(Peer::Successor) => self.on_successor_disconnected(),
            Event::PeerDisconnected(Peer::Predecessor) => self.on_predecessor_disconnected(),
            Event::ShutdownStarted => {
                self.shuts_down_replaced |= self.is_replaced();
                Vec::new()
            }
            Event::LocalChange(change) => self.notify_peers(None, &change),
            Event::PeerChange(from, change) => {
                let mut actions = vec![Action::ApplyChange(change.clone())];
                actions.extend(self.notify_peers(Some(from), &change));
                actions
            }
        }
    }

    fn on_successor_disconnected(&mut self) -> Vec<Action> {
        let Some(successor) = self.successor.take() else { return Vec::new() };
        // A process that is still sending long bodies can outlive its successor, which a third process has
        // replaced. It must not accept again, because the address belongs to the third process.
        let resumes_accepting = successor == SuccessorState::Ready && !self.shuts_down_replaced;
        if !resumes_accepting {
            return vec![Action::ShareLimits(self.process_count())];
        }
        // The successor was ready, so the socket path no longer belongs to this process.
        vec![Action::SetAccepting(true), Action::ShareLimits(self.process_count()), Action::Listen]
    }

    fn on_predecessor_disconnected(&mut self) -> Vec<Action> {
        if !std::mem::take(&mut self.has_predecessor) {
            return Vec::new();
        }
        let mut actions = vec![Action::ShareLimits(self.process_count())];
        actions.extend(self.listen_once());
        actions
    }

    /// Returns the actions that send a change to all connected peers except the one that sent it.
    fn notify_peers(&self, from: Option<Peer>, change: &ManualChange) -> Vec<Action> {
        let peers = [(Peer::Predecessor, self.has_predecessor), (Peer::Successor, self.successor.is_some())];
        let others = peers.into_iter().filter(|(peer, is_connected)| *is_connected && Some(*peer) != from);
        others.map(|(peer, _)| Action::SendChange(peer, change.clone())).collect()
    }
}

#[cfg(test)]
mod tests;
