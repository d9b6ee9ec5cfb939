//! Pauses and faults of a server, and the start and end of its process.

use super::{Job, Server, ServerEffect, Stage, State};
use crate::model::context::Context;
use crate::model::message::{AttemptId, AttemptResponse, MachineChange, Message};
use crate::model::topology::Topology;
use olivecart_decisions::{Nanos, Outcome};
use rand::Rng;
use rand_distr::Exp1;

impl Server {
    pub(super) fn schedule_pause(&self, context: &mut Context) {
        if let Some(pause) = self.kind(context.topology).pause {
            let wait = pause.every.nanos() as f64 * context.rng.sample::<f64, _>(Exp1);
            context.outbox.schedule(context.now + wait.max(1.0) as Nanos, Message::ServerPauses);
        }
    }

    /// Pauses the server: running parts end later, and new parts start after the pause.
    pub fn pause(&mut self, context: &mut Context) {
        let Some(pause) = self.kind(context.topology).pause else { return };
        let length = pause.length.nanos();
        self.paused_until = self.paused_until.max(context.now + length);
        for job in self.jobs.iter_mut().flatten() {
            if let Stage::Running { ends_at } = &mut job.stage {
                *ends_at = ends_at.saturating_add(length);
            }
        }
        self.schedule_pause(context);
    }

    /// Applies a change caused by the start or end of a fault.
    pub fn change(&mut self, context: &mut Context, change: MachineChange, effects: &mut Vec<ServerEffect>) {
        let topology = context.topology;
        let now = context.now;
        self.update_counters(topology, now);
        match change {
            MachineChange::Die { silent } => self.die(topology, now, silent, effects),
            MachineChange::Start => self.start(now),
            MachineChange::Drain if self.state == State::Up => self.state = State::Draining,
            MachineChange::Drain => {}
            MachineChange::Errors(share) => self.error_share = share,
            MachineChange::Slow(factor) => self.slowdown = factor.max(1.0),
            MachineChange::Late(delay) => self.report_delay = delay,
            MachineChange::Hang(hangs) => self.hang(context, hangs),
        }
    }

    /// Starts the process, unless the server was overloaded while cold: such a server stays down.
    fn start(&mut self, now: Nanos) {
        if self.state == State::Down && !self.counters.fell_over {
            self.state = State::Up;
            self.started = now;
            self.rested_since = Some(now);
        }
    }

    /// Makes the server hang or recover. While it hangs, no part starts or ends; the parts that were due in
    /// the meantime end when it recovers.
    fn hang(&mut self, context: &mut Context, hangs: bool) {
        if self.state == State::Down || self.hangs == hangs {
            return;
        }
        self.hangs = hangs;
        if !hangs {
            self.complete_stuck_parts(context);
        }
        self.schedule_jobs(context);
    }

    fn complete_stuck_parts(&mut self, context: &mut Context) {
        for (index, job) in (0..).zip(&mut self.jobs) {
            if let Some(Job { stage: Stage::Running { ends_at }, generation, .. }) = job
                && *ends_at == Nanos::MAX
            {
                *ends_at = context.now;
                let completed = Message::WorkCompleted { job: index, generation: *generation };
                context.outbox.schedule(context.now, completed);
            }
        }
    }

    /// Ends the process with all of its jobs. If `silent`, no proxy is notified.
    pub(super) fn die(
        &mut self,
        topology: &Topology,
        now: Nanos,
        silent: bool,
        effects: &mut Vec<ServerEffect>,
    ) {
        self.update_counters(topology, now);
        if self.state == State::Down {
            return;
        }
        let mut jobs: Vec<Job> = self.jobs.drain(..).flatten().collect();
        jobs.sort_by_key(|job| job.generation);
        for job in jobs {
            self.counters.lost += 1;
            if let Stage::Running { ends_at } = job.stage {
                self.release_core_time(ends_at, now);
            }
            if job.is_connected && !silent {
                effects.push(reset_response(&job));
            }
        }
        self.counters.deaths += 1;
        self.state = State::Down;
        self.incarnation += 1;
        self.reset_process_state();
    }

    /// Resets all state that belongs to the process.
    fn reset_process_state(&mut self) {
        self.slots_used = 0;
        self.cores_used = 0;
        self.backlog = 0;
        self.overhead = 0;
        self.connections = 0;
        self.paused_until = 0;
        self.is_crowded = false;
        self.crowded_since = None;
        self.rested_since = None;
        self.hangs = false;
        self.busy_at_report = self.counters.busy;
        self.served_since_report = 0;
        self.job_by_attempt.clear();
        self.free_indices.clear();
        self.waiting.clear();
        self.ready.clear();
        self.reports.clear();
    }
}

/// Notifies the proxy of a job that the connection was reset.
fn reset_response(job: &Job) -> ServerEffect {
    let AttemptId { proxy, request, number } = job.attempt.id;
    let response = AttemptResponse {
        request,
        number,
        outcome: Outcome::Reset,
        connection_incarnation: None,
        work: job.work_done,
        load: None,
    };
    ServerEffect::Respond { proxy, response }
}
