//! Grants of an upstream and the fencing tokens that order them.

use crate::upstream::tokens;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::{ids, times};

use ids::{Epoch, RangeIndex, ServiceName};
use times::HostTime;

/// A range and the fencing token under which it is granted, withdrawn or requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FencedRange {
    /// Index of the range.
    pub range: RangeIndex,
    /// Fencing token of the range's owner.
    #[serde(with = "tokens::text")]
    pub token: Epoch,
}

/// Body of `PUT /_upstream/grant`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRequest {
    /// Service that the ranges belong to.
    pub service: ServiceName,
    /// Ranges that the upstream may serve until `until_ms`.
    #[serde(default)]
    pub grants: Vec<FencedRange>,
    /// Expiry of the grants by the upstream's clock.
    #[serde(default)]
    pub until_ms: HostTime,
    /// Ranges whose grants are withdrawn.
    #[serde(default)]
    pub withdraw: Vec<FencedRange>,
}

/// Response to a grant request once no withdrawn range has running requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantResponse {
    /// Current time of the upstream's clock.
    pub now_ms: HostTime,
    /// Refused ranges, each with the newer fencing token that was seen.
    pub refused: Vec<FencedRange>,
}

/// Why the grants do not admit a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantRefusal {
    /// A newer fencing token has been seen for the range.
    Token,
    /// No valid grant covers the range.
    Grant,
}

#[derive(Debug, Clone, Copy, Default)]
struct RangeGrant {
    highest_token: Epoch,
    granted: Option<(Epoch, HostTime)>,
}

/// Grant and highest fencing token of each range.
#[derive(Debug, Default)]
pub struct Grants {
    ranges: FastMap<RangeIndex, RangeGrant>,
}

impl Grants {
    /// Applies the withdrawals, then the grants of a request; returns the refused ranges.
    pub fn apply(&mut self, request: &GrantRequest) -> Vec<FencedRange> {
        for withdrawn in &request.withdraw {
            self.withdraw(*withdrawn);
        }
        let grants = request.grants.iter();
        grants.filter_map(|grant| self.grant(*grant, request.until_ms).err()).collect()
    }

    /// Checks a request for a range under a fencing token; returns the expiry of the grant that covers it.
    ///
    /// # Errors
    /// Returns the reason why the request is not covered.
    pub fn admit(
        &mut self,
        fenced_range: FencedRange,
        now: HostTime,
    ) -> Result<HostTime, GrantRefusal> {
        let range_grant = self.ranges.entry(fenced_range.range).or_default();
        if range_grant.highest_token > fenced_range.token {
            return Err(GrantRefusal::Token);
        }
        range_grant.highest_token = fenced_range.token;
        match range_grant.granted {
            Some((token, expiry)) if token == fenced_range.token && now < expiry => Ok(expiry),
            _ => Err(GrantRefusal::Grant),
        }
    }

    fn grant(&mut self, grant: FencedRange, expiry: HostTime) -> Result<(), FencedRange> {
        let range_grant = self.ranges.entry(grant.range).or_default();
        if range_grant.highest_token > grant.token {
            return Err(FencedRange { range: grant.range, token: range_grant.highest_token });
        }
        range_grant.highest_token = grant.token;
        let current_expiry = range_grant.granted.filter(|(token, _)| *token == grant.token);
        let expiry =
            current_expiry.map_or(expiry, |(_, current_expiry)| current_expiry.max(expiry));
        range_grant.granted = Some((grant.token, expiry));
        Ok(())
    }

    fn withdraw(&mut self, withdrawn: FencedRange) {
        let range_grant = self.ranges.entry(withdrawn.range).or_default();
        range_grant.highest_token = range_grant.highest_token.max(withdrawn.token);
        range_grant.granted = range_grant.granted.filter(|(token, _)| *token > withdrawn.token);
    }
}
