//! What an instance is told at its start, and the numbers of the names that it meets.

use crate::convert::settings_of;
use crate::error::SettingsError;
use crate::load::load_field;
use crate::names::NameTable;
use crate::object::SettingsObject;
use olivecart_decisions::{
    CellId, EndpointEntry, EndpointId, EndpointState, LoadReport, MachineKindId, Nanos, Settings, ZoneId,
};
use std::time::Duration;

/// How long the other side keeps an idle connection, unless the settings say.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(30);

/// One endpoint as a list has it, before its names are numbered.
pub struct ListedEndpoint<'a> {
    /// Its name, the same in all processes.
    pub name: &'a str,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// The zone's name.
    pub zone: &'a str,
    /// The machine kind's name.
    pub kind: &'a str,
    /// Its cell.
    pub cell: u64,
    /// Its size relative to others.
    pub size: f64,
    /// When it last started, on the clock of the decisions; none if long ago.
    pub started: Option<Nanos>,
}

/// What an instance is told at its start: the decisions' settings, the figures that only its embedding
/// needs, and the names that the decisions know by number.
pub struct Site {
    /// For [`Balancer::new`](olivecart_decisions::Balancer::new).
    pub settings: Settings,
    /// A connection idle for this long is closed by the other side.
    pub idle_close: Duration,
    /// Requests that may be open at a time.
    pub max_open_requests: usize,
    /// A final response may come this long after the deadline and still count.
    pub response_grace: Duration,
    /// Endpoints, in the order in which lists named them.
    pub endpoints: NameTable,
    /// Zones.
    pub zones: NameTable,
    /// Machine kinds.
    pub kinds: NameTable,
    /// Classes, in the order of the settings.
    pub classes: NameTable,
    /// Tenants, in the order of the settings.
    pub tenants: NameTable,
    /// The fields of a load report, in their order.
    load_fields: Vec<String>,
}

impl Site {
    /// Reads a settings object.
    ///
    /// # Errors
    /// The first key at fault, or what the decisions will not work with.
    pub fn read(json: &str) -> Result<Site, SettingsError> {
        let object = SettingsObject::parse(json)?;
        let mut zones = NameTable::of(object.zones.iter());
        let settings = settings_of(&object, &mut zones)?;
        require_above_zero(&object, &settings)?;
        settings.validate().map_err(SettingsError::Unusable)?;
        let idle_close = object.limits.idle_close_ns;
        Ok(Site {
            settings,
            idle_close: idle_close.map_or(DEFAULT_IDLE_CLOSE, Duration::from_nanos),
            max_open_requests: object.limits.max_open_requests.unwrap_or(usize::MAX),
            response_grace: Duration::from_nanos(object.rules.response_grace_ns.unwrap_or(0)),
            endpoints: NameTable::default(),
            zones,
            kinds: NameTable::default(),
            classes: NameTable::of(object.classes.iter().map(|class| &class.name)),
            tenants: NameTable::of(object.tenants.iter().map(|tenant| &tenant.name)),
            load_fields: object.load_report.fields,
        })
    }

    /// One endpoint of a list, with numbers for its names.
    pub fn entry(&mut self, listed: &ListedEndpoint) -> EndpointEntry {
        let id = self.endpoints.id(listed.name);
        let name = self.endpoints.name(id).cloned().unwrap_or_else(|| listed.name.into());
        EndpointEntry {
            id: EndpointId(id),
            name,
            state: listed.state,
            zone: ZoneId(self.zones.id(listed.zone) as u16),
            machine_kind: MachineKindId(self.kinds.id(listed.kind) as u16),
            cell: CellId(listed.cell),
            relative_capacity: listed.size,
            started: listed.started,
        }
    }

    /// A load report that is given as a row in the order of the settings.
    pub fn load_row(&self, row: Vec<Option<f64>>) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in self.load_fields.iter().zip(row) {
            if let Some(field) = load_field(&mut load, name) {
                *field = value;
            }
        }
        load
    }
}

/// Checks the figures that the decisions do not check, or not by their keys.
fn require_above_zero(object: &SettingsObject, settings: &Settings) -> Result<(), SettingsError> {
    let figures = [
        ("allowed.connect-timeout-ns", settings.limits.connect_timeout == 0),
        ("allowed.most-held", object.limits.max_open_requests == Some(0)),
        ("rules.must-ask-in-ns", settings.rules.poll_interval == 0),
    ];
    match figures.into_iter().find(|(_, is_zero)| *is_zero) {
        Some((key, _)) => Err(SettingsError::value(key, "must not be 0")),
        None => Ok(()),
    }
}
