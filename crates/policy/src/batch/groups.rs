//! Teams and the kinds of their batch work, by name.

use std::collections::HashMap;

use foldhash::fast::RandomState;
use toucanquay_model::Section;

use super::{kind::Kind, team::Team};

/// Teams and the kinds of their batch work. Both keep their index.
#[derive(Debug, Clone, Default)]
pub(super) struct Groups {
    pub teams: Vec<Team>,
    team_index: HashMap<String, usize, RandomState>,
    pub kinds: Vec<Kind>,
    kind_index: HashMap<(usize, String), usize, RandomState>,
}

impl Groups {
    /// Applies the quota and the per-kind limits of a team's section.
    pub fn configure(&mut self, team: &str, section: &Section) {
        let index = self.intern_team(team);
        self.teams[index].quota = section.quota;
        for ((kind_team, _), kind) in &self.kind_index {
            if *kind_team == index {
                self.kinds[*kind].running_max = None;
            }
        }
        for (name, batch) in &section.batch {
            let kind = self.intern_kind(index, name);
            self.kinds[kind].running_max = batch.running_max;
        }
    }

    /// Returns the index of a team, if it is known.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.team_index.get(name).copied()
    }

    /// Returns the index of a kind of a team, if it is known.
    pub fn kind(&self, team: usize, name: &str) -> Option<usize> {
        self.kind_index.get(&(team, name.to_owned())).copied()
    }

    /// Returns the index of a team, which is added if it is new.
    pub fn intern_team(&mut self, name: &str) -> usize {
        if let Some(index) = self.team_index.get(name) {
            return *index;
        }
        self.teams.push(Team::default());
        self.team_index
            .insert(name.to_owned(), self.teams.len() - 1);
        self.teams.len() - 1
    }

    /// Returns the index of a kind of a team, which is added if it is new.
    pub fn intern_kind(&mut self, team: usize, name: &str) -> usize {
        let index = (team, name.to_owned());
        if let Some(kind) = self.kind_index.get(&index) {
            return *kind;
        }
        self.kinds.push(Kind::new());
        self.kind_index.insert(index, self.kinds.len() - 1);
        self.kinds.len() - 1
    }
}
