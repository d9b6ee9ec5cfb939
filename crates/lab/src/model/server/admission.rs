//! Handles the messages that arrive at a server over the network: attempts, which are admitted or rejected,
//! cancellations, closed connections and health checks.

use super::{Job, Server, ServerEffect, Stage, State};
use crate::model::context::Context;
use crate::model::faults::TimeSpan;
use crate::model::message::{Attempt, AttemptId, AttemptResponse, ClosedConnections};
use crate::model::pressure::Pressure;
use crate::model::topology::Topology;
use crate::scenario::Cancel;
use olivecart_decisions::{LoadReport, Nanos, Outcome};
use rand::Rng;

impl Server {
    /// Handles the arrival of an attempt.
    pub fn attempt_arrived(
        &mut self,
        context: &mut Context,
        attempt: Attempt,
        effects: &mut Vec<ServerEffect>,
    ) {
        let topology = context.topology;
        let now = context.now;
        self.counters.attempts += 1;
        if self.state == State::Down {
            return self.reject(&attempt, Outcome::ConnectFailed, None, effects);
        }
        self.update_counters(topology, now);
        let work = self.work_at_tier(topology, &attempt);
        // Attempts that are rejected afterwards add to the pressure too.
        if self.is_overloaded_by(topology, now, work, &attempt) {
            self.counters.fell_over = true;
            self.die(topology, now, false, effects);
            return self.reject(&attempt, Outcome::Reset, None, effects);
        }
        if !self.accept_connection(topology, &attempt) {
            return self.reject(&attempt, Outcome::ConnectFailed, None, effects);
        }
        let connection_incarnation = Some(self.incarnation);
        if self.is_full(topology) {
            return self.reject(&attempt, Outcome::Overloaded, connection_incarnation, effects);
        }
        let error_rate = self.kind(topology).error_rate.max(self.error_share);
        if context.rng.random::<f64>() < error_rate {
            self.counters.answered += 1;
            effects.push(response_without_work(&attempt, Outcome::Error, connection_incarnation));
            return;
        }
        self.admit(context, attempt, work);
        if attempt.breaks_connection {
            self.connections = self.connections.saturating_sub(1);
            effects.push(response_without_work(&attempt, Outcome::Reset, None));
        }
    }

    fn reject(
        &mut self,
        attempt: &Attempt,
        outcome: Outcome,
        connection_incarnation: Option<u32>,
        effects: &mut Vec<ServerEffect>,
    ) {
        self.counters.rejected += 1;
        effects.push(response_without_work(attempt, outcome, connection_incarnation));
    }

    /// Counts the connection of an attempt if it is new. Returns `false` if the server has too many
    /// connections.
    fn accept_connection(&mut self, topology: &Topology, attempt: &Attempt) -> bool {
        if attempt.connection_incarnation == Some(self.incarnation) {
            return true;
        }
        let limits = &self.kind(topology).connections;
        if limits.cap > 0 && self.connections >= limits.cap {
            return false;
        }
        self.connections += 1;
        self.counters.handshakes += 1;
        self.counters.peak_connections = self.counters.peak_connections.max(self.connections.into());
        self.overhead += limits.handshake_work.nanos();
        true
    }

    fn is_full(&self, topology: &Topology) -> bool {
        let kind = self.kind(topology);
        let is_queue_full = self.waiting.len() >= kind.queue as usize && self.slots_used >= kind.slots;
        self.state == State::Draining || is_queue_full
    }

    fn work_at_tier(&self, topology: &Topology, attempt: &Attempt) -> u64 {
        (attempt.work as f64 * topology.scenario.tier[self.tier as usize].work_share) as u64
    }

    fn admit(&mut self, context: &mut Context, attempt: Attempt, work: u64) {
        let calls = self.draw_calls(context);
        let parts = u64::from(calls + 1);
        let part = work / parts;
        self.last_generation = self.last_generation.wrapping_add(1);
        let job = Job {
            attempt,
            stage: Stage::Waiting,
            generation: self.last_generation,
            part,
            calls_left: calls,
            work_done: 0,
            work_left: part * parts,
            is_connected: !attempt.breaks_connection,
        };
        self.backlog += job.work_left;
        let index = self.store(job);
        self.job_by_attempt.insert(attempt.id, index);
        let requests = self.job_by_attempt.len() as u64;
        self.counters.peak_requests = self.counters.peak_requests.max(requests);
        self.waiting.push_back(index);
        self.schedule_jobs(context);
    }

    /// Draws the number of calls that a job makes to the next tier.
    fn draw_calls(&self, context: &mut Context) -> u32 {
        let Some(next_tier) = context.topology.scenario.tier.get(self.tier as usize + 1) else { return 0 };
        let certain = next_tier.calls.floor();
        let has_one_more = context.rng.random::<f64>() < next_tier.calls - certain;
        certain as u32 + u32::from(has_one_more)
    }

    fn store(&mut self, job: Job) -> u32 {
        if let Some(index) = self.free_indices.pop() {
            self.jobs[index as usize] = Some(job);
            index
        } else {
            self.jobs.push(Some(job));
            self.jobs.len() as u32 - 1
        }
    }

    /// Handles the cancellation of an attempt: the proxy has closed its connection.
    pub fn cancel_attempt(&mut self, context: &mut Context, id: AttemptId, effects: &mut Vec<ServerEffect>) {
        let Some(&index) = self.job_by_attempt.get(&id) else { return };
        self.update_counters(context.topology, context.now);
        self.connections = self.connections.saturating_sub(1);
        let cancel = self.kind(context.topology).cancel;
        let Some(job) = self.jobs[index as usize].as_mut() else { return };
        job.is_connected = false;
        let stage = job.stage;
        let stops = match cancel {
            Cancel::None => false,
            Cancel::Queued => stage == Stage::Waiting,
            Cancel::Running => true,
        };
        if stops {
            if let Stage::Calling { request: Some(request) } = stage {
                effects.push(ServerEffect::CancelCall { request });
            }
            self.counters.lost += 1;
            self.remove(index, context.now);
            self.schedule_jobs(context);
        }
    }

    /// Handles the closing of idle connections by a proxy.
    pub fn connections_closed(&mut self, topology: &Topology, now: Nanos, closed: ClosedConnections) {
        if closed.incarnation == self.incarnation {
            self.update_counters(topology, now);
            self.connections = self.connections.saturating_sub(closed.count);
        }
    }

    /// Handles a health check. Returns its outcome, the time of the response and the load report. Health
    /// checks bypass the queue, so that a hanging server passes them.
    pub fn health_check(&mut self, topology: &Topology, now: Nanos) -> (Outcome, Nanos, Option<LoadReport>) {
        self.counters.probes += 1;
        if self.state == State::Down {
            return (Outcome::ConnectFailed, now, None);
        }
        let work = self.kind(topology).probe_work.nanos();
        self.overhead += work;
        let duration = (work as f64 / self.core_speed(topology, now)) as Nanos;
        let responds_at = now.max(self.paused_until) + duration;
        (Outcome::Ok, responds_at, self.visible_report(topology, now))
    }

    /// Whether this attempt overloads a cold server, which then crashes.
    fn is_overloaded_by(&mut self, topology: &Topology, now: Nanos, work: u64, attempt: &Attempt) -> bool {
        let kind = self.kind(topology);
        let Some(cold) = kind.cold.filter(|_| self.started > 0) else { return false };
        let warm_at = self.started + cold.warm_in.nanos();
        if now >= warm_at {
            self.pressure = Pressure::default();
            return false;
        }
        let rules = &topology.scenario.rules;
        let capacity = f64::from(kind.cores) * self.core_speed(topology, now);
        let knows_start = attempt.known_start == self.started;
        let window = TimeSpan { from: now.saturating_sub(rules.fall_window.nanos()), to: now + 1 };
        let bearable = rules.fall_multiple * capacity * rules.fall_window.nanos() as f64;
        self.pressure.add(window, work, knows_start, bearable)
    }

    /// Whether the server was overloaded mostly by proxies that knew of its start.
    pub fn was_overloaded_while_cold(&self) -> bool {
        self.counters.fell_over && self.pressure.is_mostly_informed()
    }

    /// Describes the work that overloaded the server.
    pub fn describe_pressure(&self) -> String {
        self.pressure.to_string()
    }
}

fn response_without_work(
    attempt: &Attempt,
    outcome: Outcome,
    connection_incarnation: Option<u32>,
) -> ServerEffect {
    let AttemptId { proxy, request, number } = attempt.id;
    let response = AttemptResponse { request, number, outcome, connection_incarnation, work: 0, load: None };
    ServerEffect::Respond { proxy, response }
}
