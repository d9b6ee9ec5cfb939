//! The settings of one instance, and the ids of the names that it uses.

use crate::convert::convert_settings;
use crate::error::SettingsError;
use crate::load::load_field;
use crate::names::NameTable;
use crate::object::SettingsObject;
use olivecart_decisions::{
    CellId, EndpointEntry, EndpointId, EndpointState, LoadReport, MachineKindId, Nanos, Settings, ZoneId,
};
use std::time::Duration;

/// How long the peer keeps an idle connection open, unless `allowed.idle-close-ns` is set.
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(30);

/// One entry of an endpoint list, with names instead of ids.
pub struct ListedEndpoint<'a> {
    /// The endpoint's name, the same in all processes.
    pub name: &'a str,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// The zone's name.
    pub zone: &'a str,
    /// The name of the machine kind.
    pub kind: &'a str,
    /// The endpoint's cell.
    pub cell: u64,
    /// The endpoint's capacity relative to others.
    pub size: f64,
    /// The time of its last start on the clock of the decision module; `None` if it started long ago.
    pub started: Option<Nanos>,
}

/// The parsed settings of an instance: the settings of the decision module, the values that only the
/// embedding program uses, and the tables of names that the decision module knows by id.
pub struct Site {
    /// The settings for [`Balancer::new`](olivecart_decisions::Balancer::new).
    pub settings: Settings,
    /// How long a connection may be idle before the peer closes it.
    pub idle_close: Duration,
    /// The largest number of requests that may be open at a time.
    pub max_open_requests: usize,
    /// How long after its deadline a final response still counts.
    pub response_grace: Duration,
    /// Endpoints, in the order in which lists first named them.
    pub endpoints: NameTable,
    /// Zones.
    pub zones: NameTable,
    /// Machine kinds.
    pub kinds: NameTable,
    /// Classes, in the order of the settings.
    pub classes: NameTable,
    /// Tenants, in the order of the settings.
    pub tenants: NameTable,
    /// The field names of a load report, in the order of its values.
    load_fields: Vec<String>,
}

impl Site {
    /// Parses and validates a settings object.
    ///
    /// # Errors
    /// Returns the first invalid key, or the contradiction that the decision module's validation finds.
    pub fn read(json: &str) -> Result<Site, SettingsError> {
        let object = SettingsObject::parse(json)?;
        let mut zones = NameTable::from_names(object.zones.iter());
        let settings = convert_settings(&object, &mut zones)?;
        require_nonzero(&object, &settings)?;
        settings.validate().map_err(SettingsError::Inconsistent)?;
        let idle_close = object.limits.idle_close_ns;
        Ok(Site {
            settings,
            idle_close: idle_close.map_or(DEFAULT_IDLE_CLOSE, Duration::from_nanos),
            max_open_requests: object.limits.max_open_requests.unwrap_or(usize::MAX),
            response_grace: Duration::from_nanos(object.rules.response_grace_ns.unwrap_or(0)),
            endpoints: NameTable::default(),
            zones,
            kinds: NameTable::default(),
            classes: NameTable::from_names(object.classes.iter().map(|class| &class.name)),
            tenants: NameTable::from_names(object.tenants.iter().map(|tenant| &tenant.name)),
            load_fields: object.load_report.fields,
        })
    }

    /// Returns the endpoint with ids for its names. Adds new names to the tables.
    pub fn intern_endpoint(&mut self, listed: &ListedEndpoint) -> EndpointEntry {
        let id = self.endpoints.intern(listed.name);
        let name = self.endpoints.name(id).cloned().unwrap_or_else(|| listed.name.into());
        EndpointEntry {
            id: EndpointId(id),
            name,
            state: listed.state,
            zone: ZoneId(self.zones.intern(listed.zone) as u16),
            machine_kind: MachineKindId(self.kinds.intern(listed.kind) as u16),
            cell: CellId(listed.cell),
            relative_capacity: listed.size,
            started: listed.started,
        }
    }

    /// Returns the load report with these values, which are in the order of the settings.
    pub fn load_report_from_row(&self, row: Vec<Option<f64>>) -> LoadReport {
        let mut load = LoadReport::default();
        for (name, value) in self.load_fields.iter().zip(row) {
            if let Some(field) = load_field(&mut load, name) {
                *field = value;
            }
        }
        load
    }
}

/// Rejects zero for values that [`Settings::validate`] does not check or does not report under their keys.
fn require_nonzero(object: &SettingsObject, settings: &Settings) -> Result<(), SettingsError> {
    let values = [
        ("allowed.connect-timeout-ns", settings.limits.connect_timeout == 0),
        ("allowed.most-held", object.limits.max_open_requests == Some(0)),
        ("rules.must-ask-in-ns", settings.rules.poll_interval == 0),
    ];
    match values.into_iter().find(|(_, is_zero)| *is_zero) {
        Some((key, _)) => Err(SettingsError::value(key, "must not be 0")),
        None => Ok(()),
    }
}
