//! Hash maps and sets with a fast hasher that does not resist hash-flooding attacks; only for keys
//! that an untrusted client can't choose.

use rustc_hash::{FxBuildHasher, FxHasher};
use std::collections::{HashMap, HashSet};

/// Hasher of [`FastMap`] and [`FastSet`].
pub type FastHasher = FxHasher;

/// Hash map that uses [`FastHasher`].
pub type FastMap<K, V> = HashMap<K, V, FxBuildHasher>;

/// Hash set that uses [`FastHasher`].
pub type FastSet<K> = HashSet<K, FxBuildHasher>;
