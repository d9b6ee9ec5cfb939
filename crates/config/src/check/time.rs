//! Aims, deadlines, and what the platform allows.

use super::Model;
use crate::document::{Span, top};

/// The longest time to stay away that clients honour.
const RETRY_AFTER: Span = Span::from_nanos(2_000_000_000);
/// The longest time that the platform lets pass until nothing new goes to what drains.
const DRAIN_GRACE: Span = Span::from_nanos(500_000_000);

impl Model<'_> {
    pub(super) fn times(&mut self, at: usize) {
        let proxy = &self.resolved[at].proxy;
        for (i, class) in proxy.classes.iter().enumerate() {
            let key = |name: &str| top("classes").at(i).name(name);
            if class.aim > class.deadline {
                let what = format!(
                    "class {:?}: the aim, {}, is above the deadline, {}",
                    class.name, class.aim, class.deadline
                );
                let (place, other) = (self.spot_of(at, &key("aim")), self.spot_of(at, &key("deadline")));
                let finding = self.found(at, "OC0201", what, place);
                *finding = finding.clone().beside(other, "the deadline");
            } else if class.attempt > class.deadline {
                let what = format!(
                    "class {:?}: an attempt, {}, is longer than the deadline, {}",
                    class.name, class.attempt, class.deadline
                );
                let (place, other) = (self.spot_of(at, &key("attempt")), self.spot_of(at, &key("deadline")));
                let finding = self.found(at, "OC0208", what, place);
                *finding = finding.clone().beside(other, "the deadline");
            }
            if class.deadline.nanos() == 0 || class.aim.nanos() == 0 {
                let zero = if class.deadline.nanos() == 0 { "deadline" } else { "aim" };
                let place = self.spot_of(at, &key(zero));
                self.found(at, "OC0005", format!("class {:?}: its {zero} is 0", class.name), place);
            }
        }
        let settings = &proxy.settings;
        let key = |name: &str| top("settings").name(name);
        if let Some(time) = settings.retry_after.filter(|time| *time > RETRY_AFTER) {
            let place = self.spot_of(at, &key("retry_after"));
            self.found(
                at,
                "OC0205",
                format!("clients honour {RETRY_AFTER} at most, and retry_after is {time}"),
                place,
            );
        }
        if let Some(time) = settings.drain_grace.filter(|time| *time > DRAIN_GRACE) {
            let place = self.spot_of(at, &key("drain_grace"));
            self.found(
                at,
                "OC0206",
                format!("the platform allows {DRAIN_GRACE}, and drain_grace is {time}"),
                place,
            );
        }
        let Some(connect) = settings.connect_timeout else { return };
        let shortest = proxy.classes.iter().enumerate().min_by_key(|(_, class)| class.deadline);
        if let Some((i, class)) = shortest.filter(|(_, class)| connect >= class.deadline) {
            let what = format!(
                "connect_timeout, {connect}, is not below the deadline of class {:?}, {}",
                class.name, class.deadline
            );
            let place = self.spot_of(at, &key("connect_timeout"));
            let other = self.spot_of(at, &top("classes").at(i).name("deadline"));
            let finding = self.found(at, "OC0207", what, place);
            *finding = finding.clone().beside(other, "the deadline");
        }
        if connect.nanos() == 0 {
            let place = self.spot_of(at, &key("connect_timeout"));
            self.found(at, "OC0005", "connect_timeout is 0".into(), place);
        }
    }
}
