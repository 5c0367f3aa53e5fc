//! Results of releases that hosts send for each other.

use serde::{Deserialize, Serialize};
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::CallEnd;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::ids::UpstreamId;

/// Result of a release that was sent for another host. Hosts of earlier versions read and write the first two variants, and
/// take a bare status for [`CallEnd::Gone`].
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerRelease {
    /// The holder released the keys and handed over this state. Without one, any process at its address may have answered.
    Ok(Option<String>),
    /// The release did not show that the holder's grants have ended.
    Err(CallEnd),
    /// Another process has the holder's address.
    Replaced {
        /// Id of that process.
        by: UpstreamId,
    },
}

impl PeerRelease {
    /// Returns by what the holder's grants have ended.
    ///
    /// # Errors
    ///
    /// Fails if the result does not show that they have.
    pub fn end(self, holder: &Holder) -> Result<GrantEnd, NotEnded> {
        match self {
            Self::Ok(Some(state)) if !state.is_empty() => Ok(GrantEnd::released(Some(state))),
            // Hosts of earlier versions take any success for a release.
            Self::Ok(_) | Self::Err(CallEnd::Gone | CallEnd::Refused) => Err(NotEnded::Refused),
            Self::Err(_) => Err(NotEnded::Unknown),
            Self::Replaced { by } => GrantEnd::replaced(holder, &by).ok_or(NotEnded::Refused),
        }
    }
}

impl From<Result<GrantEnd, NotEnded>> for PeerRelease {
    fn from(end: Result<GrantEnd, NotEnded>) -> Self {
        match end {
            Ok(end) => match end.replaced_by() {
                Some(by) => Self::Replaced { by: by.clone() },
                None => Self::Ok(end.handover().map(str::to_owned)),
            },
            Err(NotEnded::Refused) => Self::Err(CallEnd::Refused),
            Err(NotEnded::Unknown) => Self::Err(CallEnd::Unknown),
        }
    }
}
