//! Authentication of clients by SASL.

use super::password_checks::{fake_salt, nonce};
use super::users::Identity;
use super::AmqpFrontend;
use crate::frontend::{FrontendContext, TimerEvent};
use crate::net::Token;
use sparbank_amqp::SaslRequest;
use std::rc::Rc;
use std::time::Duration;

/// A failed authentication is answered after this: it limits how fast passwords can be guessed.
const FAILED_LOGIN_DELAY: Duration = Duration::from_secs(1);

impl AmqpFrontend {
    /// A client authenticates. Without a users' file every anonymous client is let in.
    pub(super) fn authenticate(&mut self, ctx: &mut FrontendContext, token: Token, request: SaslRequest) {
        let Some(users) = &self.config.known_users else {
            if let Some(client) = self.clients.get(token) {
                client.conn.finish_sasl(request == SaslRequest::Anonymous);
            }
            return;
        };
        match request {
            SaslRequest::Anonymous => {
                let identity = users.anonymous();
                self.finish_login(ctx, token, identity);
            }
            SaslRequest::ScramKeys { user } => {
                let keys = users.keys(&user).cloned();
                if let Some(client) = self.clients.get(token) {
                    client.conn.provide_scram_keys(keys, &fake_salt(&user), &nonce());
                }
            }
            SaslRequest::ScramProof { user, is_valid } => {
                let identity = users.named(&user).filter(|_| is_valid);
                self.finish_login(ctx, token, identity);
            }
            SaslRequest::Plain { user, password } => {
                if self.password_checks.start(token, users, user, &password) {
                    ctx.wheel.schedule(ctx.now, TimerEvent::FrontendTimer(self.id, token));
                } else {
                    self.finish_login(ctx, token, None);
                }
            }
            SaslRequest::External => {
                let name =
                    self.clients.get(token).and_then(|client| client.tls.as_ref()?.peer_certificate_name());
                let identity = name.and_then(|name| users.named(&name));
                self.finish_login(ctx, token, identity);
            }
        }
    }

    /// Lets in a client with an identity. Without one it is rejected after a delay.
    fn finish_login(&mut self, ctx: &mut FrontendContext, token: Token, identity: Option<Rc<Identity>>) {
        let Some(client) = self.clients.get(token) else { return };
        match identity {
            Some(identity) => {
                client.identity = identity;
                client.conn.finish_sasl(true);
                self.clients.mark_dirty(token);
            }
            None => {
                self.rejected_logins += 1;
                client.reject_login_at = Some(ctx.now + FAILED_LOGIN_DELAY);
                ctx.wheel.schedule(ctx.now + FAILED_LOGIN_DELAY, TimerEvent::FrontendTimer(self.id, token));
            }
        }
    }

    /// Rejects a client's login where its delay has passed.
    pub(super) fn reject_due_login(&mut self, ctx: &mut FrontendContext, token: Token) {
        let Some(client) = self.clients.get(token) else { return };
        if client.reject_login_at.is_some_and(|at| at <= ctx.now) {
            client.reject_login_at = None;
            client.conn.finish_sasl(false);
            self.clients.mark_dirty(token);
        }
    }

    /// Does one slice of one password check, whichever client waits: no slice delays the event loop noticeably.
    pub(super) fn check_passwords(&mut self, ctx: &mut FrontendContext) {
        if let Some(checked) = self.password_checks.step() {
            let users = self.config.known_users.as_ref();
            let identity = users.and_then(|users| users.named(&checked.user)).filter(|_| checked.is_valid);
            self.finish_login(ctx, checked.token, identity);
        }
        if let Some(token) = self.password_checks.next_token() {
            ctx.wheel.schedule(ctx.now, TimerEvent::FrontendTimer(self.id, token));
        }
    }
}
