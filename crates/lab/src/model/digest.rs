//! The digest of a run: a fingerprint of each message, and a hash of the digests of all nodes.
//!
//! Digests are compared between runs and between builds, so the number of each kind of message never changes.

use super::message::{
    Attempt, AttemptId, AttemptResponse, ClientRequestId, ClosedConnections, DiscoveryUpdate, Message,
    RequestOutcome,
};
use super::topology::mix;
use olivecart_decisions::Timer;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the hash of the digests of all nodes, ordered by node.
pub fn digest(mut digests: Vec<(u32, u64)>) -> String {
    digests.sort_unstable();
    let bytes: Vec<u8> = digests.iter().flat_map(|(_, digest)| digest.to_le_bytes()).collect();
    format!("{:016x}", xxh3_64(&bytes))
}

impl Message {
    /// Returns a number that identifies the event.
    pub(super) fn fingerprint(&self) -> u64 {
        let (kind, content) = self.kind_and_content();
        content.rotate_left(7) ^ kind
    }

    fn kind_and_content(&self) -> (u64, u64) {
        match self {
            Message::ClientArrives => (1, 0),
            Message::ClientTimesOut(request, attempt) => (2, client_attempt(request, *attempt)),
            Message::ClientDisconnects(request, attempt) => (3, client_attempt(request, *attempt)),
            Message::ClientRetries(request) => (4, client_request(request)),
            Message::DeadlineExpired(request) => (5, *request),
            Message::ResponseOverdue(request) => (6, *request),
            Message::PolicyTimer(timer, incarnation) => (7, policy_timer(*timer, *incarnation)),
            Message::AttemptTimedOut { request, number, outcome } => {
                (8, request ^ u64::from(*number) << 50 ^ (*outcome as u64) << 58)
            }
            Message::HealthCheckTimedOut(number) => (9, *number),
            Message::SweepIdleConnections(incarnation) => (10, u64::from(*incarnation)),
            Message::SampleEndpointHealth => (11, 0),
            Message::WorkCompleted { job, generation } => {
                (12, u64::from(*job) << 32 | u64::from(*generation))
            }
            Message::ServerPauses => (13, 0),
            Message::MachineChanges(_) => (14, 0),
            Message::DiscoveryNotified(changes) => (15, changes.len() as u64),
            Message::DiscoveryCallServed(proxy, watch) => (16, discovery_call(*proxy, *watch)),
            Message::DiscoveryOutage => (17, 0),
            Message::Request(call) => (18, client_request(&call.client_request) ^ call.work),
            Message::Response(request, attempt, outcome) => {
                (19, client_attempt(request, *attempt) ^ outcome_number(*outcome))
            }
            Message::ClientDisconnected(request, attempt) => (20, client_attempt(request, *attempt)),
            Message::Attempt(Attempt { id, .. }) => (21, attempt_id(id)),
            Message::CancelAttempt(id) => (22, attempt_id(id)),
            Message::ConnectionsClosed(closed) => (23, closed_connections(*closed)),
            Message::AttemptResponse(response) => (24, response_number(response)),
            Message::HealthCheck(proxy, number) => (25, u64::from(*proxy) << 40 ^ number),
            Message::HealthCheckResponse(number, outcome, _) => (26, number << 4 ^ *outcome as u64),
            Message::DiscoveryRequest(proxy, watch) => (27, discovery_call(*proxy, *watch)),
            Message::DiscoveryUpdate(update) => (28, update_number(update)),
            Message::EffectExecuted(request, group) => (29, client_request(request) ^ group),
        }
    }
}

fn client_request(request: &ClientRequestId) -> u64 {
    u64::from(request.node) << 40 ^ u64::from(request.slot) << 20 ^ u64::from(request.generation)
}

fn client_attempt(request: &ClientRequestId, attempt: u8) -> u64 {
    client_request(request) ^ u64::from(attempt) << 60
}

fn attempt_id(id: &AttemptId) -> u64 {
    id.request << 24 ^ u64::from(id.proxy) << 4 ^ u64::from(id.number)
}

fn response_number(response: &AttemptResponse) -> u64 {
    let AttemptResponse { request, number, outcome, work, .. } = *response;
    request << 16 ^ u64::from(number) << 8 ^ outcome as u64 ^ work << 20
}

fn discovery_call(proxy: u32, watch: bool) -> u64 {
    u64::from(proxy) << 1 | u64::from(watch)
}

fn closed_connections(closed: ClosedConnections) -> u64 {
    u64::from(closed.incarnation) << 32 | u64::from(closed.count)
}

fn policy_timer(timer: Timer, incarnation: u32) -> u64 {
    let number = match timer {
        Timer::HealthCheck(endpoint) => u64::from(endpoint.0) << 2,
        Timer::Request(request) => request.0 << 2 | 1,
        Timer::Discovery => 2,
    };
    number ^ u64::from(incarnation) << 56
}

fn outcome_number(outcome: RequestOutcome) -> u64 {
    match outcome {
        RequestOutcome::Served(work) => work << 2,
        RequestOutcome::Refused(retry_after) => retry_after << 2 | 1,
        RequestOutcome::Failed => 2,
        RequestOutcome::Unreachable => 3,
    }
}

fn update_number(update: &DiscoveryUpdate) -> u64 {
    match update {
        DiscoveryUpdate::Full(entries) => entries.len() as u64,
        DiscoveryUpdate::Delta(entries) => {
            entries.iter().fold(1, |sum, entry| mix(sum, u64::from(entry.slot) ^ entry.started))
        }
        DiscoveryUpdate::Failed => u64::MAX,
    }
}
