//! Puts the layers together: what each proxy reads, and where every value of it came from.

use crate::document::{Key, Size, Span, top};
use crate::load::Loaded;
use crate::origin::{Layer, Origin, Origins};
use crate::types::{
    Admin, Application, Class, ClassChange, Effect, Fleet, Group, Knobs, LogForm, Outbound, Proxy,
    ProxyClass, Repeat, VERSION,
};
use std::net::SocketAddr;

/// A proxy with all its values.
#[derive(Clone, Debug, PartialEq)]
pub struct Resolved {
    /// What it reads.
    pub proxy: Proxy,
    /// Where each value came from.
    pub origins: Origins,
    /// The application: its place among those that were loaded; none for what a single proxy reads.
    pub application: Option<usize>,
    /// The machine that it runs on.
    pub machine: String,
    /// Of each of its calls: how often for each request that it serves.
    pub times: Vec<f64>,
}

/// What the environment says: names and values.
pub type Environment = Vec<(String, String)>;

/// What variables that set knobs begin with.
pub const VARIABLE: &str = "OLIVECART_SET_";

/// The program's own figures.
pub fn built_in() -> Knobs {
    let ms = |ms: u64| Some(Span::from_nanos(ms * 1_000_000));
    Knobs {
        attempts: Some(3),
        connect_timeout: ms(250),
        idle_close: ms(30_000),
        probes: Some(true),
        retry_after: ms(2000),
        drain_grace: ms(500),
        cold: ms(30_000),
        cold_share: Some(0.1),
        open_requests: Some(2000),
        client_connections: None, // half of the descriptors
        descriptors: Some(1024),
        memory: Some(Size::from_bytes(192 << 20)),
        largest_body: Some(Size::from_bytes(64 << 10)),
        log: Some(LogForm::Text),
    }
}

/// Descriptors that a proxy needs besides those for clients and endpoints.
pub const OWN_DESCRIPTORS: u32 = 48;

/// Requests that may be open at an application, unless it says.
pub const MAX_REQUESTS: u32 = 100;

/// The proxies of all that was loaded: of each application that belongs to the fleet, then single ones.
pub fn resolve(loaded: &Loaded, environment: &Environment) -> Vec<Resolved> {
    let mut all = Vec::new();
    if let Some((fleet_at, fleet)) = &loaded.fleet {
        for (at, (source, application)) in loaded.applications.iter().enumerate() {
            all.push(of_application((*fleet_at, fleet), (*source, application), at, environment));
        }
    }
    all.extend(loaded.proxies.iter().map(|(source, proxy)| of_proxy(*source, proxy, environment)));
    all
}

/// One layer of knobs with its origin.
struct Laid<'a> {
    layer: Layer,
    source: usize,
    key: Key,
    knobs: &'a Knobs,
}

fn of_application(
    (fleet_at, fleet): (usize, &Fleet),
    (source, application): (usize, &Application),
    at: usize,
    environment: &Environment,
) -> Resolved {
    let mut origins = Origins::new();
    let tier = fleet.tiers.iter().position(|tier| tier.name == application.tier);
    let laid = |layer, source, key, knobs| Laid { layer, source, key, knobs };
    let mut layers = vec![laid(Layer::Fleet, fleet_at, top("settings"), &fleet.settings)];
    if let Some(tier) = tier {
        let key = top("tiers").at(tier).name("settings");
        layers.push(laid(Layer::Tier, fleet_at, key, &fleet.tiers[tier].settings));
    }
    layers.push(laid(Layer::Application, source, top("settings"), &application.settings));
    let settings = knobs(&layers, environment, &mut origins);
    let mut said =
        |key: Key, layer, source, from: Key| _ = origins.insert(key, Origin::File(layer, source, from));
    let own = Layer::Application;
    for name in ["name", "tier", "zone"] {
        said(top(name), own, source, top(name));
    }
    said(top("zones"), Layer::Fleet, fleet_at, top("zones"));
    said(top("tenants"), Layer::Fleet, fleet_at, top("tenants"));
    said(top("sources"), Layer::Fleet, fleet_at, top("sources"));
    if application.inbound.is_some() {
        for name in ["listen", "application", "max_requests"] {
            said(top("inbound").name(name), own, source, top("inbound").name(name));
        }
    }
    let admin = admin((fleet_at, fleet), tier, (source, application), &mut said);
    let mut outbound = Vec::new();
    for (i, call) in application.calls.iter().enumerate() {
        let (to, from) = (top("outbound").at(i), top("calls").at(i));
        for name in ["application", "listen", "clusters", "routes"] {
            said(to.name(name), own, source, from.name(name));
        }
        let attempts = call.attempts.or(settings.attempts).unwrap_or(1);
        let clusters = call.clusters.clone().unwrap_or_else(|| vec![call.application.clone()]);
        outbound.push(Outbound {
            application: call.application.clone(),
            listen: call.listen,
            attempts,
            clusters,
            routes: call.routes.clone(),
        });
    }
    for (i, call) in application.calls.iter().enumerate() {
        let key = top("outbound").at(i).name("attempts");
        let from = match call.attempts {
            Some(_) => Some(Origin::File(own, source, top("calls").at(i).name("attempts"))),
            None => origins.get(&top("settings").name("attempts")).cloned(),
        };
        from.into_iter().for_each(|from| _ = origins.insert(key.clone(), from));
    }
    let classes = classes((fleet_at, fleet), tier, (source, application), &mut origins);
    let mut sources = fleet.sources.clone();
    for source in &mut sources {
        if source.xds.is_some() && source.node_cluster.is_none() {
            source.node_cluster = Some(fleet.name.clone());
        }
    }
    let proxy = Proxy {
        version: VERSION,
        kind: "proxy".to_owned(),
        name: application.name.clone(),
        tier: tier.unwrap_or(0) as u32,
        zone: application
            .zone
            .clone()
            .or_else(|| fleet.zones.first().filter(|_| fleet.zones.len() == 1).cloned()),
        zones: fleet.zones.clone(),
        settings,
        admin,
        inbound: application.inbound.clone(),
        outbound,
        classes,
        tenants: fleet.tenants.clone(),
        sources,
    };
    let machine = application.machine.clone().unwrap_or_else(|| application.name.clone());
    let times = application.calls.iter().map(|call| call.times.unwrap_or(1.0)).collect();
    Resolved { proxy, origins, application: Some(at), machine, times }
}

/// The listener for operators: the application's, its tier's, or the fleet's.
fn admin(
    (fleet_at, fleet): (usize, &Fleet),
    tier: Option<usize>,
    (source, application): (usize, &Application),
    said: &mut impl FnMut(Key, Layer, usize, Key),
) -> Option<Admin> {
    let of_tier = tier.and_then(|tier| Some((top("tiers").at(tier), fleet.tiers[tier].admin.clone()?)));
    let (layer, at, key, admin) = match (application.admin.clone(), of_tier, fleet.admin.clone()) {
        (Some(admin), ..) => (Layer::Application, source, top("admin"), admin),
        (_, Some((key, admin)), _) => (Layer::Tier, fleet_at, key.name("admin"), admin),
        (.., Some(admin)) => (Layer::Fleet, fleet_at, top("admin"), admin),
        _ => return None,
    };
    said(top("admin").name("listen"), layer, at, key.name("listen"));
    Some(admin)
}

/// What a single proxy reads, with what it leaves to the program filled in.
fn of_proxy(source: usize, proxy: &Proxy, environment: &Environment) -> Resolved {
    let mut origins = Origins::new();
    let layer = Laid { layer: Layer::Proxy, source, key: top("settings"), knobs: &proxy.settings };
    let settings = knobs(&[layer], environment, &mut origins);
    // All else is the file's own, under the same key.
    let mut own = |key: Key| _ = origins.insert(key.clone(), Origin::File(Layer::Proxy, source, key));
    for name in ["name", "tier", "zone", "zones", "tenants", "sources"] {
        own(top(name));
    }
    own(top("admin").name("listen"));
    for name in ["listen", "application", "max_requests"] {
        own(top("inbound").name(name));
    }
    for i in 0..proxy.outbound.len() {
        for name in ["application", "listen", "attempts", "clusters", "routes"] {
            own(top("outbound").at(i).name(name));
        }
    }
    for i in 0..proxy.classes.len() {
        for name in CLASS_KEYS {
            own(top("classes").at(i).name(name));
        }
    }
    let machine = proxy.name.clone();
    Resolved {
        proxy: Proxy { settings, ..proxy.clone() },
        origins,
        application: None,
        machine,
        times: Vec::new(),
    }
}

/// The keys of a class as a proxy reads it.
pub const CLASS_KEYS: [&str; 11] = [
    "name",
    "aim",
    "deadline",
    "effect",
    "group",
    "window",
    "attempt",
    "repeat",
    "worth",
    "late_worth",
    "stream",
];

/// Knobs from their layers, the built-in one below and the environment above them.
///
/// A table of names and values is overlaid, so that no knob can be forgotten here.
fn knobs(layers: &[Laid], environment: &Environment, origins: &mut Origins) -> Knobs {
    let table = |knobs: &Knobs| match serde_json::to_value(knobs) {
        Ok(serde_json::Value::Object(table)) => table,
        _ => Default::default(),
    };
    let key = |name: &str| top("settings").name(name);
    let mut all = table(&built_in());
    for name in all.keys() {
        origins.insert(key(name), Origin::BuiltIn);
    }
    for Laid { layer, source, key: at, knobs } in layers {
        for (name, value) in table(knobs).into_iter().filter(|(_, value)| !value.is_null()) {
            origins.insert(key(&name), Origin::File(*layer, *source, at.name(name.as_str())));
            all.insert(name, value);
        }
    }
    for (variable, text) in environment {
        let Some(name) = variable.strip_prefix(VARIABLE).map(str::to_ascii_lowercase) else { continue };
        let Some(value) = all.get_mut(&name) else { continue };
        let Some(new) = from_variable(&name, text) else { continue };
        *value = new;
        origins.insert(key(&name), Origin::Variable(variable.clone()));
    }
    let mut knobs: Knobs = serde_json::from_value(all.into()).unwrap_or_else(|_| built_in());
    if knobs.client_connections.is_none() {
        let descriptors = knobs.descriptors.unwrap_or(0);
        knobs.client_connections = Some((descriptors.saturating_sub(OWN_DESCRIPTORS) / 2).max(1));
        let from = origins.get(&key("descriptors")).cloned().unwrap_or(Origin::BuiltIn);
        origins.insert(key("client_connections"), from);
    }
    knobs
}

/// The value of a variable for a knob, as a file would give it; none if it would not be taken there.
pub fn from_variable(name: &str, text: &str) -> Option<serde_json::Value> {
    let plain = text.parse().unwrap_or_else(|_| serde_json::Value::from(text));
    [plain, serde_json::Value::from(text)].into_iter().find(|value| {
        let table = serde_json::Map::from_iter([(name.to_owned(), value.clone())]);
        serde_json::from_value::<Knobs>(table.into()).is_ok()
    })
}

/// The classes of an application: the fleet's, with what its tier and itself change.
fn classes(
    (fleet_at, fleet): (usize, &Fleet),
    tier: Option<usize>,
    (source, application): (usize, &Application),
    origins: &mut Origins,
) -> Vec<ProxyClass> {
    let serves = tier.and_then(|tier| fleet.tiers[tier].serves.as_ref());
    let all = fleet.classes.iter().enumerate();
    let kept = all.filter(|(_, class)| serves.is_none_or(|names| names.contains(&class.name)));
    let mut classes = Vec::new();
    for (i, class) in kept {
        let own = top("classes").at(classes.len());
        let mut put = |name: &str, from: Origin| _ = origins.insert(own.name(name), from);
        for name in CLASS_KEYS {
            put(name, Origin::File(Layer::Fleet, fleet_at, top("classes").at(i).name(name)));
        }
        for name in ["attempt", "repeat", "worth", "late_worth", "stream"] {
            let given = match name {
                "attempt" => class.attempt.is_some(),
                "worth" => class.worth.is_some(),
                "late_worth" => class.late_worth.is_some(),
                "stream" => class.stream.is_some(),
                _ => false,
            };
            if !given {
                put(name, Origin::BuiltIn);
            }
        }
        let mut effective = base(class);
        let mut has_attempt = class.attempt.is_some();
        let of_tier = tier.and_then(|tier| {
            let change = fleet.tiers[tier].classes.get(&class.name)?;
            Some((Layer::Tier, fleet_at, top("tiers").at(tier).name("classes"), change))
        });
        let of_application = application.classes.get(&class.name);
        let of_application =
            of_application.map(|change| (Layer::Application, source, top("classes"), change));
        for (layer, source, key, change) in of_tier.into_iter().chain(of_application) {
            let key = key.name(class.name.as_str());
            let mut from = |name: &str| put(name, Origin::File(layer, source, key.name(name)));
            has_attempt |= change.attempt.is_some();
            apply(&mut effective, change, &mut from);
        }
        if !has_attempt {
            effective.attempt = effective.aim.min(effective.deadline);
        }
        classes.push(effective);
    }
    classes
}

/// A class as the fleet has it.
fn base(class: &Class) -> ProxyClass {
    ProxyClass {
        name: class.name.clone(),
        aim: class.aim,
        deadline: class.deadline,
        effect: class.effect,
        group: class.group.or((class.effect == Effect::ByKey).then_some(Group::All)),
        window: class.window,
        attempt: class.attempt.unwrap_or(class.aim),
        repeat: class.effect.allows(),
        worth: class.worth.unwrap_or(1.0),
        late_worth: class.late_worth.unwrap_or(0.0),
        stream: class.stream.unwrap_or(false),
    }
}

fn apply(class: &mut ProxyClass, change: &ClassChange, from: &mut impl FnMut(&str)) {
    fn set<T: Copy>(name: &str, to: &mut T, new: Option<T>, from: &mut impl FnMut(&str)) {
        if let Some(new) = new {
            *to = new;
            from(name);
        }
    }
    set("aim", &mut class.aim, change.aim, from);
    set("deadline", &mut class.deadline, change.deadline, from);
    set("attempt", &mut class.attempt, change.attempt, from);
    set("worth", &mut class.worth, change.worth, from);
    set("repeat", &mut class.repeat, change.repeat, from);
    if let Some(effect) = change.effect {
        class.effect = effect;
        from("effect");
        if change.repeat.is_none() {
            class.repeat = class.repeat.min(effect.allows());
        }
    }
}

/// The freest rule of repeats that a class may have.
pub fn allowed(class: &ProxyClass) -> Repeat {
    class.effect.allows()
}

/// An address as it counts against others: one mapped into IPv6 is the IPv4 one.
pub fn plain(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}
