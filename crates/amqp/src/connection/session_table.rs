//! The sessions of a connection and their links, by this side's channels and handles.

use super::{AbandonedDelivery, LinkId};
use crate::link::{Link, Phase as LinkPhase};
use crate::session::{Map, Session};

/// The sessions of a connection.
#[derive(Default)]
pub(super) struct SessionTable {
    /// By this side's channel.
    sessions: Vec<Option<Session>>,
    /// This side's channel, by the peer's.
    by_remote_channel: Map<u16, u16>,
    /// Links on all sessions together.
    link_count: usize,
}

impl SessionTable {
    /// A session.
    #[inline]
    pub fn get(&self, channel: u16) -> Option<&Session> {
        self.sessions.get(channel as usize)?.as_ref()
    }

    /// A session.
    #[inline]
    pub fn get_mut(&mut self, channel: u16) -> Option<&mut Session> {
        self.sessions.get_mut(channel as usize)?.as_mut()
    }

    /// Adds a session at the first free channel. None if that is above `channel_max`.
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

    /// Removes a session with its links.
    pub fn remove(&mut self, channel: u16) {
        if let Some(session) = self.sessions.get_mut(channel as usize).and_then(Option::take) {
            self.link_count -= session.links.iter().flatten().count();
            if let Some(remote_channel) = session.remote_channel {
                self.by_remote_channel.remove(&remote_channel);
            }
        }
    }

    /// The peer uses `remote_channel` for the session at this side's `channel`.
    pub fn bind_remote_channel(&mut self, remote_channel: u16, channel: u16) {
        self.by_remote_channel.insert(remote_channel, channel);
    }

    /// This side's channel of the session that the peer uses `remote_channel` for.
    #[inline]
    pub fn at_remote_channel(&self, remote_channel: u16) -> Option<u16> {
        self.by_remote_channel.get(&remote_channel).copied()
    }

    /// The channels of the sessions, in order.
    pub fn channels(&self) -> Vec<u16> {
        let sessions = self.sessions.iter().enumerate();
        sessions.filter_map(|(channel, session)| session.is_some().then_some(channel as u16)).collect()
    }

    /// A link.
    #[inline]
    pub fn link(&self, link: LinkId) -> Option<&Link> {
        self.get(link.channel)?.link(link.handle)
    }

    /// A link.
    #[inline]
    pub fn link_mut(&mut self, link: LinkId) -> Option<&mut Link> {
        self.get_mut(link.channel)?.link_mut(link.handle)
    }

    /// Adds a link to a session, at the first free handle.
    pub fn insert_link(&mut self, channel: u16, link: Link) -> Option<LinkId> {
        let handle = self.get_mut(channel)?.insert(link);
        self.link_count += 1;
        Some(LinkId { channel, handle })
    }

    /// Removes a link. Returns the keys of its unsettled deliveries.
    pub fn remove_link(&mut self, link: LinkId) -> Vec<u64> {
        if self.link(link).is_none() {
            return Vec::new();
        }
        let Some(session) = self.get_mut(link.channel) else { return Vec::new() };
        let keys = session.remove(link.handle);
        self.link_count -= 1;
        keys
    }

    /// The number of links on all sessions together.
    pub fn link_count(&self) -> usize {
        self.link_count
    }

    /// The links that are not being detached, in order.
    pub fn open_links(&self) -> Vec<LinkId> {
        let mut links = Vec::new();
        for (channel, session) in self.sessions.iter().enumerate() {
            for (handle, link) in session.iter().flat_map(|session| session.links.iter().enumerate()) {
                if link.as_ref().is_some_and(|link| link.phase != LinkPhase::Closing) {
                    links.push(LinkId { channel: channel as u16, handle: handle as u32 });
                }
            }
        }
        links
    }

    /// Removes all links. Returns their unsettled deliveries.
    pub fn remove_all_links(&mut self) -> Vec<AbandonedDelivery> {
        let mut abandoned = Vec::new();
        for channel in 0..self.sessions.len() as u16 {
            let Some(session) = self.get_mut(channel) else { continue };
            for handle in 0..session.links.len() as u32 {
                let Some(role) = session.link(handle).map(|link| link.role) else { continue };
                let link = LinkId { channel, handle };
                let keys = session.remove(handle).into_iter();
                abandoned.extend(keys.map(|key| AbandonedDelivery { link, role, key }));
            }
        }
        self.link_count = 0;
        abandoned
    }
}
