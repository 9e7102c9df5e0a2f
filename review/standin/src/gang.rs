//! Where the stand-ins of workers learn whether all members of a gang are present.
//!
//! PROTOCOL.md: the tasks of a gang work from the moment when all tasks of one run are present, and
//! all of them must carry the same checkpoint. Members with different checkpoints are not taken for
//! one gang.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::Mutex,
};

use crate::http::{self, Request};

#[derive(Debug, Default)]
struct Gang {
    /// Present members and their checkpoints.
    members: BTreeMap<String, String>,
    end: Option<&'static str>,
}

impl Gang {
    fn is_whole(&self, size: usize) -> bool {
        let mut checkpoints = self.members.values();
        let first = checkpoints.next();
        self.members.len() == size && checkpoints.all(|other| Some(other) == first)
    }
}

pub fn start(address: SocketAddr) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let gangs: Mutex<BTreeMap<(String, u64), Gang>> = Mutex::default();
    http::serve(listener, move |request: &Request| {
        let words: Vec<&str> = request.body.split(' ').collect();
        let [word, task, attempt, checkpoint, size] = words[..] else {
            return (400, String::new());
        };
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let key = (step.to_owned(), attempt.parse().unwrap_or(0));
        let mut gangs = gangs
            .lock()
            .expect("no thread panics while it holds the lock");
        let gang = gangs.entry(key).or_default();
        match word {
            "join" => {
                gang.members.insert(task.to_owned(), checkpoint.to_owned());
            }
            "look" => {}
            "done" => gang.end = Some("done"),
            // A member that has waited in vain ends alone, and so do the others.
            "alone" => {}
            _ => gang.end = Some("broken"),
        }
        let state = match gang.end {
            Some(end) => end,
            None if gang.is_whole(size.parse().unwrap_or(0)) => "whole",
            None => "waiting",
        };
        (200, state.to_owned())
    });
    Ok(())
}
