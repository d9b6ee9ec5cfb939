//! Effects and repeats: nothing that runs must run a second time.

use super::Model;
use crate::document::top;
use crate::load::known;
use crate::origin::Origin;
use crate::report::Finding;
use crate::types::{Effect, Repeat};

impl Model<'_> {
    pub(super) fn effects(&mut self, at: usize) {
        let resolved = &self.resolved[at];
        let attempts = self.most_attempts(at);
        for (i, class) in resolved.proxy.classes.iter().enumerate() {
            let key = |name: &str| top("classes").at(i).name(name);
            let name = &class.name;
            if class.repeat > class.effect.allows() {
                let (id, id_help) = match class.effect {
                    Effect::Once => ("OC0101", "runs once at most"),
                    _ => ("OC0102", "may be repeated only within its group and window"),
                };
                let word = class.repeat.name();
                let what =
                    format!("class {name:?} {id_help}, and repeat = {word:?} would send it again elsewhere");
                let place = self.spot_of(at, &key("repeat"));
                let effect = self.spot_of(at, &key("effect"));
                let effect_says = format!("its effect: {}", class.effect.name());
                let finding = self.found(at, id, what, place);
                *finding = finding.clone().beside(effect, effect_says);
            }
            if class.effect == Effect::ByKey {
                match class.window {
                    None => {
                        let place = self.spot_of(at, &key("effect"));
                        self.found(
                            at,
                            "OC0105",
                            format!("class {name:?} is by-key and has no window"),
                            place,
                        );
                    }
                    Some(window) if window <= class.attempt => {
                        let attempt = class.attempt;
                        let what = format!(
                            "the window of class {name:?}, {window}, is over within one attempt, {attempt}"
                        );
                        let place = self.spot_of(at, &key("window"));
                        let other = self.spot_of(at, &key("attempt"));
                        let finding = self.found(at, "OC0103", what, place);
                        *finding = finding.clone().beside(other, "an attempt");
                    }
                    Some(window) if class.repeat == Repeat::Window => {
                        let all = class.attempt.nanos().saturating_mul(attempts.into());
                        if window.nanos() < all {
                            let (attempt, n) = (class.attempt, attempts);
                            let what = format!(
                                "the window of class {name:?}, {window}, is over before {n} attempts of {attempt}"
                            );
                            let place = self.spot_of(at, &key("window"));
                            self.found(at, "OC0104", what, place);
                        }
                    }
                    Some(_) => {}
                }
            }
        }
        self.meaningless(at);
    }

    /// A window or group where the effect has none.
    fn meaningless(&mut self, at: usize) {
        for (i, class) in self.resolved[at].proxy.classes.iter().enumerate() {
            if class.effect == Effect::ByKey {
                continue;
            }
            let given = [("window", class.window.is_some()), ("group", class.group.is_some())];
            let parent = |name: &str| match self.resolved[at].origins.get(&top("classes").at(i).name(name)) {
                Some(Origin::File(_, source, key)) => Some((*source, key.parent())),
                _ => None,
            };
            // Where another layer has changed the effect, that is what is wrong.
            let given = given.map(|(name, given)| (name, given && parent(name) == parent("effect")));
            for (name, _) in given.iter().filter(|(_, given)| *given) {
                let place = self.spot_of(at, &top("classes").at(i).name(*name));
                let what =
                    format!("class {:?} has a {name}, and its effect is {}", class.name, class.effect.name());
                self.found(at, "OC0106", what, place);
            }
        }
    }

    /// Most attempts of any of its calls.
    pub(super) fn most_attempts(&self, at: usize) -> u32 {
        let proxy = &self.resolved[at].proxy;
        let calls = proxy.outbound.iter().map(|call| call.attempts).max();
        calls.unwrap_or_else(|| proxy.settings.attempts.unwrap_or(1))
    }

    /// What the tiers say of the fleet's classes.
    pub(super) fn between_tiers(&mut self) {
        let Some((source, fleet)) = self.fleet() else { return };
        let effect_of =
            |name: &str| fleet.classes.iter().find(|class| class.name == name).map(|class| class.effect);
        for (i, tier) in fleet.tiers.iter().enumerate() {
            for (name, change) in &tier.classes {
                let key = top("tiers").at(i).name("classes").name(name.as_str()).name("effect");
                if let (Some(own), Some(fleets)) = (change.effect, effect_of(name))
                    && own != fleets
                {
                    self.other_effect(source, source, &key, name, (own, fleets));
                }
            }
        }
        for (own_source, application) in &self.loaded.applications {
            for (name, change) in &application.classes {
                let key = top("classes").name(name.as_str()).name("effect");
                if let (Some(own), Some(fleets)) = (change.effect, effect_of(name))
                    && own != fleets
                {
                    self.other_effect(*own_source, source, &key, name, (own, fleets));
                }
            }
        }
        for (i, class) in fleet.classes.iter().enumerate() {
            let serves =
                |tier: &crate::types::Tier| tier.serves.as_ref().is_none_or(|all| all.contains(&class.name));
            if !fleet.tiers.iter().any(serves) {
                let place = self.at(source, &top("classes").at(i).name("name"));
                self.push(Finding::new(
                    known("OC0803"),
                    format!("no tier serves class {:?}", class.name),
                    place,
                ));
            }
        }
    }

    fn other_effect(
        &mut self,
        source: usize,
        fleet_source: usize,
        key: &crate::document::Key,
        name: &str,
        (own, fleets): (Effect, Effect),
    ) {
        let at =
            self.fleet().and_then(|(_, fleet)| fleet.classes.iter().position(|class| class.name == name));
        let place = self.at(source, key);
        let other = self.at(fleet_source, &top("classes").at(at.unwrap_or(0)).name("effect"));
        let what = format!("class {name:?} is {} here and {} in the fleet", own.name(), fleets.name());
        self.push(Finding::new(known("OC0802"), what, place).beside(other, "the fleet's"));
    }
}
