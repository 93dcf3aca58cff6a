//! The firms' deployments of today.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rattanarch_standins::Firm;
use rattanarch_standins::Fleet;
use rattanarch_standins::RequestKind;
use rattanarch_standins::ServicePlan;
use rattanarch_types::Record;

use crate::BenchError;

/// Longest wait for a state of a fleet.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);
/// Time without a change of owners after which a record counts as settled.
const QUIET: Duration = Duration::from_secs(2);
/// Pause between two looks at a record.
const PAUSE: Duration = Duration::from_millis(100);

/// One firm's deployment: its services, and the requests that are followed one by one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) firm: Firm,
    pub(crate) keyed: &'static str,
    pub(crate) members: usize,
    pub(crate) unkeyed: &'static str,
    pub(crate) files: usize,
    /// Data centre that leaves and returns.
    pub(crate) centre: &'static str,
    /// Reads of the keyed service, and their share of the firm's requests.
    pub(crate) read: (RequestKind, f64),
    /// Downloads of the unkeyed service, and their share of the firm's requests.
    pub(crate) download: (RequestKind, f64),
}

/// Both firms, by the brief's sizes and the load tool's mixes.
pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "co-op",
        firm: Firm::Coop,
        keyed: "trade-desk",
        members: 9,
        unkeyed: "pound-files",
        files: 4,
        centre: "nordkuehl",
        read: (RequestKind::Stock, 0.80),
        download: (RequestKind::Certificates, 0.05),
    },
    Deployment {
        name: "aguas-libres",
        firm: Firm::AguasLibres,
        keyed: "reservas",
        members: 8,
        unkeyed: "cartografia",
        files: 3,
        centre: "centro-b",
        read: (RequestKind::Conditions, 0.75),
        download: (RequestKind::Maps, 0.05),
    },
];

impl Deployment {
    /// Starts the processes and waits until all serve.
    pub(crate) fn start(&self) -> Result<Fleet, BenchError> {
        let fleet = Fleet::start(&self.plans())?;
        fleet.wait_balanced(self.keyed, LIMIT)?;
        fleet.wait_serving(LIMIT)?;
        self.settled(&fleet)?;
        Ok(fleet)
    }

    fn plans(&self) -> [ServicePlan; 2] {
        match self.firm {
            Firm::Coop => {
                [ServicePlan::trade_desk(self.members), ServicePlan::pound_files(self.files)]
            }
            Firm::AguasLibres => {
                [ServicePlan::reservas(self.members), ServicePlan::cartografia(self.files)]
            }
        }
    }

    /// The keyed service's record after its owners have not changed for a while.
    pub(crate) fn settled(&self, fleet: &Fleet) -> Result<Record, BenchError> {
        let start = Instant::now();
        let mut changed = start;
        let mut newest = fleet.record(self.keyed)?;
        while changed.elapsed() < QUIET {
            if start.elapsed() > LIMIT {
                return Err(format!("owners of {:?} still change", self.keyed).into());
            }
            thread::sleep(PAUSE);
            let record = fleet.record(self.keyed)?;
            if record.owners != newest.owners {
                changed = Instant::now();
            }
            newest = record;
        }
        Ok(newest)
    }
}
