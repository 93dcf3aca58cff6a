//! Wire format of ownership records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rattanarch_types::BootId;
use rattanarch_types::DataCentreName;
use rattanarch_types::Fence;
use rattanarch_types::InstanceId;
use rattanarch_types::KeyHash;
use rattanarch_types::Member;
use rattanarch_types::Record;
use rattanarch_types::ServiceName;
use rattanarch_types::SliceId;
use rattanarch_types::Version;
use rattanarch_types::WriteId;
use serde::Deserialize;
use serde::Serialize;

use crate::WireError;

/// Wire format of a [`Member`]. The field names are keys of the CBOR map, so renaming one
/// changes the wire format.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireMember {
    instance: InstanceId,
    data_centre: DataCentreName,
    peer: SocketAddr,
    caller: SocketAddr,
    slots: u16,
    #[serde(default)]
    fence: Fence,
    term: Version,
    witnesses: Vec<BootId>,
    leaving: bool,
    #[serde(default)]
    releases: u64,
    #[serde(default)]
    link: u32,
}

impl From<Member> for WireMember {
    fn from(member: Member) -> Self {
        Self {
            instance: member.instance,
            data_centre: member.data_centre,
            peer: member.peer,
            caller: member.caller,
            slots: member.slots,
            fence: member.fence,
            term: member.term,
            witnesses: member.witnesses,
            leaving: member.leaving,
            releases: member.releases,
            link: member.link_megabits_per_s,
        }
    }
}

impl From<WireMember> for Member {
    fn from(member: WireMember) -> Self {
        Self {
            instance: member.instance,
            data_centre: member.data_centre,
            peer: member.peer,
            caller: member.caller,
            slots: member.slots,
            fence: member.fence,
            term: member.term,
            witnesses: member.witnesses,
            leaving: member.leaving,
            releases: member.releases,
            link_megabits_per_s: member.link,
        }
    }
}

/// Wire format of a [`Record`]. The field names are keys of the CBOR map, so renaming one
/// changes the wire format.
///
/// Converting it to a [`Record`] checks the record's invariants, and returns [`WireError::InvalidRecord`] if one is broken.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WireRecord {
    service: ServiceName,
    version: Version,
    write_id: WriteId,
    members: BTreeMap<BootId, WireMember>,
    owners: Vec<Option<BootId>>,
    hot: BTreeMap<KeyHash, BootId>,
    #[serde(default)]
    handovers: BTreeMap<SliceId, String>,
}

impl From<Record> for WireRecord {
    fn from(record: Record) -> Self {
        let members = record.members.into_iter().map(|(boot, member)| (boot, member.into()));
        Self {
            service: record.service,
            version: record.version,
            write_id: record.write_id,
            members: members.collect(),
            owners: record.owners,
            hot: record.hot,
            handovers: record.handovers,
        }
    }
}

impl TryFrom<WireRecord> for Record {
    type Error = WireError;

    fn try_from(record: WireRecord) -> Result<Self, WireError> {
        let members = record.members.into_iter().map(|(boot, member)| (boot, member.into()));
        let record = Self {
            service: record.service,
            version: record.version,
            write_id: record.write_id,
            members: members.collect(),
            owners: record.owners,
            fences: Vec::new(),
            restored: 0,
            hot: record.hot,
            handovers: record.handovers,
        };
        record.check()?;
        Ok(record)
    }
}
