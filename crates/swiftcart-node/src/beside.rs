//! What a node remembers of the backend server beside it: its own id, and its predecessors'.
//!
//! A backend server that names itself numbers its announcements. They may arrive late and out
//! of order, also after the backend server has left or another one has taken its address.

use std::collections::VecDeque;

use http::HeaderValue;

/// Ids of backend servers that left which are remembered; instances replace theirs a few
/// times a day, and an announcement is late by seconds.
const MOST_RETIRED: usize = 16;

/// Holds the id of the backend server that announced itself last, and those that left.
#[derive(Debug, Default, Clone)]
pub struct Beside {
    current: Option<Current>,
    retired: VecDeque<String>,
}

#[derive(Debug, Clone)]
struct Current {
    id: String,
    value: HeaderValue,
    seq: u64,
}

/// Tells whether an announcement counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Heard {
    /// It is the newest one of the backend server that is known.
    Newer,
    /// It is the first one of another backend server.
    Replaced,
    /// It is older than one that came before.
    Late,
    /// Its backend server has left.
    Retired,
    /// Its id cannot be passed on in a header.
    Malformed,
}

impl Beside {
    /// Takes the announcement number `seq` of the backend server `id`.
    pub fn hear(&mut self, id: &str, seq: u64) -> Heard {
        match &mut self.current {
            _ if self.retired.iter().any(|gone| gone == id) => Heard::Retired,
            Some(current) if current.id == id && seq <= current.seq => Heard::Late,
            Some(current) if current.id == id => {
                current.seq = seq;
                Heard::Newer
            }
            _ => self.replace(id, seq),
        }
    }

    /// Notes that the backend server `id` has left; returns whether it was the current one.
    pub fn leave(&mut self, id: &str) -> bool {
        let current = self.current.take_if(|current| current.id == id).is_some();
        self.retire(id.into());
        current
    }

    /// Returns the current id, as backend servers are told it.
    #[must_use]
    pub fn instance(&self) -> Option<HeaderValue> {
        self.current.as_ref().map(|current| current.value.clone())
    }

    /// Returns the current id.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.current.as_ref().map(|current| current.id.as_str())
    }

    fn replace(&mut self, id: &str, seq: u64) -> Heard {
        let Ok(value) = HeaderValue::from_str(id) else {
            return Heard::Malformed;
        };
        let new = Current {
            id: id.into(),
            value,
            seq,
        };
        if let Some(old) = self.current.replace(new) {
            self.retire(old.id);
        }
        Heard::Replaced
    }

    fn retire(&mut self, id: String) {
        if !self.retired.contains(&id) {
            self.retired.push_back(id);
        }
        if self.retired.len() > MOST_RETIRED {
            self.retired.pop_front();
        }
    }
}
