//! Who listens, accepts and shares limits while two processes serve one address: a state machine without I/O.
//!
//! A process has at most one predecessor and one successor. Of these it needs to know only whether they live, and whether
//! the successor is ready. [`super::HotRestart`] feeds it the events and performs the actions.

/// An endpoint that an operator detached or attached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ManualChange {
    /// Taken out, by its id.
    Detach(String),
    /// Put back, by its id.
    Attach(String),
}

/// The other process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The one that this one takes over from.
    Predecessor,
    /// The one that takes over from this one.
    Successor,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This process is ready to serve.
    Ready,
    /// The predecessor has been told so, and will read it whatever becomes of this process.
    ReadySent,
    /// A successor has connected.
    SuccessorConnected,
    /// It is ready to serve.
    SuccessorReady,
    /// The other process has ended, or the connection to it.
    PeerGone(Peer),
    /// This process shuts down.
    ShutdownStarted,
    /// An operator's change was made here.
    ChangedHere(ManualChange),
    /// The other process tells of one that was made there.
    ChangedByPeer(Peer, ManualChange),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Listen for successors from now on.
    Listen,
    /// Send the successor what it needs to serve.
    SendState,
    /// Reject a successor: there is one already.
    RejectSuccessor,
    /// Accept connections from clients, or leave them to the successor.
    SetAccepting(bool),
    /// Keep to one part in so many of the limits.
    ShareLimits(u32),
    /// Tell the predecessor that this process is ready.
    SendReady,
    /// Detach or attach an endpoint here.
    ApplyChange(ManualChange),
    /// Tell the other process of it.
    SendChange(Peer, ManualChange),
}

/// What a process knows of its peers.
#[derive(Clone, Debug)]
pub struct RestartState {
    has_predecessor: bool,
    successor: Option<SuccessorState>,
    is_listening: bool,
    /// It shuts down, and a successor serves in its place.
    leaves_to_successor: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SuccessorState {
    Starting,
    Ready,
}

impl RestartState {
    /// A process that has just started, and its first actions.
    pub fn start(has_predecessor: bool) -> (RestartState, Vec<Action>) {
        let state = RestartState {
            has_predecessor,
            successor: None,
            is_listening: !has_predecessor,
            leaves_to_successor: false,
        };
        let first = if has_predecessor { Action::ShareLimits(state.processes()) } else { Action::Listen };
        (state, vec![first])
    }

    /// Whether the successor serves in place of this one.
    pub fn is_replaced(&self) -> bool {
        self.successor == Some(SuccessorState::Ready)
    }

    fn processes(&self) -> u32 {
        1 + u32::from(self.has_predecessor) + u32::from(self.successor.is_some())
    }

    /// Danger: a process that listens and never gets ready would keep the next one from the one that serves.
    fn listen_once(&mut self) -> Option<Action> {
        (!std::mem::replace(&mut self.is_listening, true)).then_some(Action::Listen)
    }

    /// Takes one event, and says what is to be done, in this order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        match event {
            // Danger: listening before the predecessor is sure to know, a process that dies between the two leaves
            // nobody that listens, and the next process shares the address where it should take over.
            Event::Ready if self.has_predecessor => vec![Action::SendReady],
            Event::Ready | Event::ReadySent => self.listen_once().into_iter().collect(),
            Event::SuccessorConnected if self.successor.is_some() => vec![Action::RejectSuccessor],
            Event::SuccessorConnected => {
                self.successor = Some(SuccessorState::Starting);
                vec![Action::ShareLimits(self.processes()), Action::SendState]
            }
            Event::SuccessorReady if self.successor == Some(SuccessorState::Starting) => {
                self.successor = Some(SuccessorState::Ready);
                vec![Action::SetAccepting(false)]
            }
            Event::SuccessorReady => Vec::new(),
            Event::PeerGone(Peer::Successor) => self.on_successor_gone(),
            Event::PeerGone(Peer::Predecessor) => self.on_predecessor_gone(),
            Event::ShutdownStarted => {
                self.leaves_to_successor |= self.is_replaced();
                Vec::new()
            }
            Event::ChangedHere(change) => self.notify_peers(None, &change),
            Event::ChangedByPeer(from, change) => {
                let mut actions = vec![Action::ApplyChange(change.clone())];
                actions.extend(self.notify_peers(Some(from), &change));
                actions
            }
        }
    }

    fn on_successor_gone(&mut self) -> Vec<Action> {
        let Some(successor) = self.successor.take() else { return Vec::new() };
        // Danger: a process that answers long bodies outlives its successor, which a third one has replaced, and would
        // take what is the third one's.
        let takes_back = successor == SuccessorState::Ready && !self.leaves_to_successor;
        if !takes_back {
            return vec![Action::ShareLimits(self.processes())];
        }
        // The successor was ready, so that the path is no longer this one's.
        vec![Action::SetAccepting(true), Action::ShareLimits(self.processes()), Action::Listen]
    }

    fn on_predecessor_gone(&mut self) -> Vec<Action> {
        if !std::mem::take(&mut self.has_predecessor) {
            return Vec::new();
        }
        let mut actions = vec![Action::ShareLimits(self.processes())];
        actions.extend(self.listen_once());
        actions
    }

    /// Tells the peers of a change, but not the one that it came from.
    fn notify_peers(&self, from: Option<Peer>, change: &ManualChange) -> Vec<Action> {
        let peers = [(Peer::Predecessor, self.has_predecessor), (Peer::Successor, self.successor.is_some())];
        let others = peers.into_iter().filter(|(peer, is_there)| *is_there && Some(*peer) != from);
        others.map(|(peer, _)| Action::SendChange(peer, change.clone())).collect()
    }
}

#[cfg(test)]
mod tests;
