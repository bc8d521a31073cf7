//! The sessions of a connection and their links, indexed by local channel and local handle.

use super::{AbandonedDelivery, LinkId};
use crate::link::{Link, Phase as LinkPhase};
use crate::session::{FastHashMap, Session};

/// The sessions of a connection.
#[derive(Default)]
pub(super) struct SessionTable {
    /// The sessions, indexed by local channel. A removed session leaves `None`, and its channel is used again.
    sessions: Vec<Option<Session>>,
    /// Maps the peer's channels to local channels.
    by_remote_channel: FastHashMap<u16, u16>,
    /// The total number of links on all sessions.
    link_count: usize,
}

impl SessionTable {
    /// The session with the given local channel.
    #[inline]
    pub fn get(&self, channel: u16) -> Option<&Session> {
        self.sessions.get(channel as usize)?.as_ref()
    }

    /// The session with the given local channel, mutably.
    #[inline]
    pub fn get_mut(&mut self, channel: u16) -> Option<&mut Session> {
        self.sessions.get_mut(channel as usize)?.as_mut()
    }

    /// Adds a session at the lowest free channel. Returns `None` if that is above `channel_max`.
    pub fn insert(&mut self, session: Session, channel_max: u16) -> Option<u16> {
        let free = self.sessions.iter().position(Option::is_none).unwrap_or(self.sessions.len());
        if free > channel_max as usize {
            return None;
        }
        if free == self.sessions.len() {
            self.sessions.push(None);
        }
        self.sessions[free] = Some(session);
        Some(free as u16)
    }

    /// Records that the announced windows of all sessions have been written.
    pub fn on_windows_written(&mut self) {
        self.sessions.iter_mut().flatten().for_each(Session::on_window_written);
    }

    /// Removes a session and its links.
    pub fn remove(&mut self, channel: u16) {
        if let Some(session) = self.sessions.get_mut(channel as usize).and_then(Option::take) {
            self.link_count -= session.links.iter().flatten().count();
            if let Some(remote_channel) = session.remote_channel {
                self.by_remote_channel.remove(&remote_channel);
            }
        }
    }

    /// Records that the peer uses `remote_channel` for the session with the local `channel`.
    pub fn bind_remote_channel(&mut self, remote_channel: u16, channel: u16) {
        self.by_remote_channel.insert(remote_channel, channel);
    }

    /// The local channel of the session for which the peer uses `remote_channel`.
    #[inline]
    pub fn local_channel(&self, remote_channel: u16) -> Option<u16> {
        self.by_remote_channel.get(&remote_channel).copied()
    }

    /// The local channels of all sessions, in ascending order.
    pub fn channels(&self) -> Vec<u16> {
        let sessions = self.sessions.iter().enumerate();
        sessions.filter_map(|(channel, session)| session.is_some().then_some(channel as u16)).collect()
    }

    /// The link with the given id.
    #[inline]
    pub fn link(&self, link: LinkId) -> Option<&Link> {
        self.get(link.channel)?.link(link.handle)
    }

    /// The link with the given id, mutably.
    #[inline]
    pub fn link_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.get_mut(link.channel)?.link_mut(link.handle)
    }

    /// Adds a link to a session, at the lowest free handle.
    pub fn insert_link(&mut self, channel: u16, link: Link) -> Option<LinkId> {
        let handle = self.get_mut(channel)?.insert_link(link);
        self.link_count += 1;
        Some(LinkId { channel, handle })
    }

    /// Removes a link and returns the keys of its unsettled deliveries.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<u64> {
        if self.link(link).is_none() {
            return Vec::new();
        }
        let Some(session) = self.get_mut(link.channel) else { return Vec::new() };
        let keys = session.remove_link(link.handle);
        self.link_count -= 1;
        keys
    }

    /// The total number of links on all sessions.
    pub fn link_count(&self) -> usize {
        self.link_count
    }

    /// The links that are not being detached, ordered by channel and handle.
    pub fn open_links(&self) -> Vec<LinkId> {
        let mut links = Vec::new();
        for (channel, session) in self.sessions.iter().enumerate() {
            for (handle, link) in session.iter().flat_map(|session| session.links.iter().enumerate()) {
                if link.as_ref().is_some_and(|link| link.phase != LinkPhase::DetachSent) {
                    links.push(LinkId { channel: channel as u16, handle: handle as u32 });
                }
            }
        }
        links
    }

    /// Removes all links and returns their unsettled deliveries.
    pub fn remove_all_links(&mut self) -> Vec<AbandonedDelivery> {
        let mut abandoned = Vec::new();
        for channel in 0..self.sessions.len() as u16 {
            let Some(session) = self.get_mut(channel) else { continue };
            for handle in 0..session.links.len() as u32 {
                let Some(role) = session.link(handle).map(|link| link.role) else { continue };
                let link = LinkId { channel, handle };
                let keys = session.remove_link(handle).into_iter();
                abandoned.extend(keys.map(|key| AbandonedDelivery { link, role, key }));
            }
        }
        self.link_count = 0;
        abandoned
    }
}
