//! The jobs of a server: how they get slots and cores, and their calls to the next tier.

use super::{Job, Server, ServerEffect, Stage};
use crate::model::context::Context;
use crate::model::message::{AttemptId, AttemptResponse, Message};
use crate::model::proxy::FinishedCall;
use crate::model::topology::Topology;
use olivecart_decisions::{Nanos, Outcome};

impl Server {
    fn job_mut(&mut self, index: u32) -> Option<&mut Job> {
        self.jobs.get_mut(index as usize)?.as_mut()
    }

    /// Handles the time at which a part of a job was to be completed. Nothing is completed if the server
    /// hangs or was paused in the meantime.
    pub fn part_completed(
        &mut self,
        context: &mut Context,
        index: u32,
        generation: u32,
        effects: &mut Vec<ServerEffect>,
    ) {
        let hangs = self.hangs;
        let Some(job) = self.job_mut(index).filter(|job| job.generation == generation) else { return };
        let Stage::Running { ends_at } = job.stage else { return };
        if hangs {
            // The part ends once the server no longer hangs.
            job.stage = Stage::Running { ends_at: Nanos::MAX };
            return;
        }
        if ends_at > context.now {
            // The server was paused in the meantime.
            return context.outbox.schedule(ends_at, Message::WorkCompleted { job: index, generation });
        }
        self.update_counters(context.topology, context.now);
        let Some(job) = self.job_mut(index) else { return };
        let part = job.part;
        job.work_done += part;
        job.work_left = job.work_left.saturating_sub(part);
        let calls_next_tier = job.calls_left > 0;
        if calls_next_tier {
            job.calls_left -= 1;
            job.stage = Stage::Calling { request: None };
            effects.push(ServerEffect::CallNextTier { job: index, generation, attempt: job.attempt });
        } else {
            job.stage = Stage::Done;
        }
        self.counters.work += part;
        self.backlog = self.backlog.saturating_sub(part);
        self.cores_used -= 1;
        if !calls_next_tier {
            self.finish(context.topology, context.now, index, Outcome::Ok, effects);
        }
        self.schedule_jobs(context);
    }

    /// Records the number under which the machine's proxy has accepted a job's call.
    pub fn call_started(&mut self, index: u32, generation: u32, number: u64) {
        if let Some(job) = self.job_mut(index).filter(|job| job.generation == generation)
            && let Stage::Calling { request } = &mut job.stage
        {
            *request = Some(number);
        }
    }

    /// Handles the end of a job's call to the next tier.
    pub fn call_completed(
        &mut self,
        context: &mut Context,
        call: FinishedCall,
        effects: &mut Vec<ServerEffect>,
    ) {
        let Some(job) = self.job_mut(call.job).filter(|job| job.generation == call.generation) else {
            return;
        };
        if !matches!(job.stage, Stage::Calling { .. }) {
            return;
        }
        match call.work {
            Some(work) => {
                job.work_done += work;
                job.stage = Stage::Ready;
                self.ready.push_back(call.job);
            }
            None => self.finish(context.topology, context.now, call.job, Outcome::Error, effects),
        }
        self.schedule_jobs(context);
    }

    /// Ends a job, and responds if its connection is still open.
    fn finish(
        &mut self,
        topology: &Topology,
        now: Nanos,
        index: u32,
        outcome: Outcome,
        effects: &mut Vec<ServerEffect>,
    ) {
        let Some(job) = self.jobs[index as usize].as_ref() else { return };
        if outcome == Outcome::Ok {
            self.served_since_report += 1;
            effects.push(ServerEffect::Executed(job.attempt));
        }
        if job.is_connected {
            self.counters.answered += 1;
            let AttemptId { proxy, request, number } = job.attempt.id;
            let response = AttemptResponse {
                request,
                number,
                outcome,
                connection_incarnation: Some(self.incarnation),
                work: job.work_done,
                load: self.visible_report(topology, now),
            };
            effects.push(ServerEffect::Respond { proxy, response });
        } else {
            self.counters.lost += 1;
        }
        self.remove(index, now);
    }

    /// Removes a job in any stage.
    pub(super) fn remove(&mut self, index: u32, now: Nanos) {
        let Some(job) = self.jobs[index as usize].take() else { return };
        self.job_by_attempt.remove(&job.attempt.id);
        self.free_indices.push(index);
        self.backlog = self.backlog.saturating_sub(job.work_left);
        match job.stage {
            Stage::Waiting => self.waiting.retain(|waiting| *waiting != index),
            Stage::Ready => {
                self.ready.retain(|ready| *ready != index);
                self.slots_used -= 1;
            }
            Stage::Running { ends_at } => {
                // The work done on the unfinished part is wasted.
                self.release_core_time(ends_at, now);
                self.cores_used -= 1;
                self.slots_used -= 1;
            }
            Stage::Calling { .. } | Stage::Done => self.slots_used -= 1,
        }
    }

    /// Frees a core that was counted as busy until `ends_at`.
    pub(super) fn release_core_time(&mut self, ends_at: Nanos, now: Nanos) {
        if ends_at != Nanos::MAX {
            self.counters.busy = self.counters.busy.saturating_sub(ends_at.saturating_sub(now));
        }
    }

    /// Gives free slots and cores to the next jobs.
    pub(super) fn schedule_jobs(&mut self, context: &mut Context) {
        if self.hangs {
            return;
        }
        let kind = self.kind(context.topology);
        while self.slots_used < kind.slots
            && let Some(index) = self.waiting.pop_front()
        {
            self.slots_used += 1;
            if let Some(job) = &mut self.jobs[index as usize] {
                job.stage = Stage::Ready;
            }
            self.ready.push_back(index);
        }
        self.update_crowding(context.topology, context.now);
        while self.cores_used < kind.cores
            && let Some(index) = self.ready.pop_front()
        {
            self.run_on_core(context, index);
        }
    }

    fn run_on_core(&mut self, context: &mut Context, index: u32) {
        let speed = self.core_speed(context.topology, context.now);
        let Some(job) = &mut self.jobs[index as usize] else { return };
        let work = job.part + std::mem::take(&mut self.overhead);
        let duration = (work as f64 / speed) as Nanos;
        let ends_at = context.now.max(self.paused_until) + duration;
        job.stage = Stage::Running { ends_at };
        self.cores_used += 1;
        self.counters.busy += duration;
        context.outbox.schedule(ends_at, Message::WorkCompleted { job: index, generation: job.generation });
    }

    /// Marks the server as crowded once it has had too many requests for some time, and as recovered once its
    /// load has been low for some time. A crowded server is slower.
    fn update_crowding(&mut self, topology: &Topology, now: Nanos) {
        let kind = self.kind(topology);
        let Some(crowd) = kind.crowd else { return };
        let requests_per_core = self.job_by_attempt.len() as f64 / f64::from(kind.cores);
        self.crowded_since = true_since(self.crowded_since, requests_per_core > crowd.per_core, now);
        self.rested_since = true_since(self.rested_since, requests_per_core < 1.0, now);
        if has_been_true_for(self.crowded_since, crowd.after.nanos(), now) {
            self.is_crowded = true;
        } else if has_been_true_for(self.rested_since, crowd.rest.nanos(), now) {
            self.is_crowded = false;
        }
    }
}

/// Returns since when a condition has been true without interruption.
fn true_since(before: Option<Nanos>, is_true: bool, now: Nanos) -> Option<Nanos> {
    is_true.then(|| before.unwrap_or(now))
}

fn has_been_true_for(since: Option<Nanos>, duration: Nanos, now: Nanos) -> bool {
    since.is_some_and(|since| now - since >= duration)
}
