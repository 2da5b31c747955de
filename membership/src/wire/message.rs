//! The messages that this crate adds to the SWIM protocol.

use crate::hash_tree::{ChildHashes, PositionPrefix};
use crate::identity::{Identity, PeerIndex};
use foca::Member;
use serde::{Deserialize, Serialize};

/// A message of this crate. The order of the variants and of their fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Makes the sender known to a process at a peer at which the sender knows no live member. The
    /// process responds with an announcement. Also sent to a process that claims the sender's name
    /// with an earlier incarnation, to inform that process that it has lost the name.
    Join {
        /// The identity of the sender.
        from: Identity,
    },
    /// A check of a member by the neighbor monitor of the sender.
    Check {
        /// The number that identifies the check.
        nonce: u32,
    },
    /// The acknowledgement of a [`Message::Check`].
    CheckAck {
        /// The nonce of the acknowledged check.
        nonce: u32,
        /// The identity of the sender, which is the member that was checked.
        from: Identity,
        /// The digest of the sender's view.
        digest: u64,
    },
    /// A request for an indirect check of a member that did not acknowledge the sender's check in
    /// time.
    IndirectCheckRequest {
        /// The nonce of the sender's own check.
        nonce: u32,
        /// The peer that is to be checked.
        target: PeerIndex,
    },
    /// A check of a member on behalf of another member, the requester.
    IndirectCheck {
        /// The nonce of the requester's own check.
        nonce: u32,
        /// The peer that requested the indirect check.
        requester: PeerIndex,
    },
    /// The acknowledgement of a [`Message::IndirectCheck`].
    IndirectCheckAck {
        /// The nonce of the requester's own check.
        nonce: u32,
        /// The peer that requested the indirect check.
        requester: PeerIndex,
        /// The identity of the sender, which is the member that was checked.
        from: Identity,
    },
    /// The acknowledgement of an indirect check, forwarded to the peer that requested the check.
    ForwardedCheckAck {
        /// The nonce of the receiver's own check.
        nonce: u32,
        /// The identity of the member that was checked, which is not the sender of this message.
        #[serde(rename = "from")]
        checked_member: Identity,
    },
    /// The hashes of the children of a hash tree node, computed from the sender's view. Sent to a
    /// member whose view differs from the sender's.
    ViewHashes {
        /// The identity of the sender.
        from: Identity,
        /// The hash tree node whose children are hashed.
        prefix: PositionPrefix,
        /// The hashes of the node's children, computed from the live members.
        hashes: ChildHashes,
    },
    /// Members that the sender knows below a node of the hash tree. Also sent to a suspect, with
    /// the suspicion as the only update, so that the suspect can refute the suspicion.
    ViewMembers {
        /// The identity of the sender.
        from: Identity,
        /// The hash tree node whose members the receiver is to send in return; `None` if the sender
        /// requests no members.
        #[serde(rename = "requested")]
        requested_in_return: Option<PositionPrefix>,
        /// The members, at most as many as fit into a datagram.
        members: Vec<Member<Identity>>,
    },
}
