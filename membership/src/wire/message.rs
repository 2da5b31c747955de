//! The messages that this crate adds to the SWIM protocol.

use crate::hash_tree::{ChildHashes, HashPrefix};
use crate::identity::{Identity, PeerIndex};
use foca::Member;
use serde::{Deserialize, Serialize};

/// A message of this crate. The order of the variants and of their fields is the wire form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender knows no live member at this peer: a process that is there may announce itself.
    Join {
        /// The sender.
        from: Identity,
    },
    /// A check by the neighbor monitor.
    Check {
        /// Identifies the check.
        nonce: u32,
    },
    /// The acknowledgement of a [`Message::Check`].
    CheckAck {
        /// The check's.
        nonce: u32,
        /// The member that was checked.
        from: Identity,
        /// The digest of its view.
        digest: u64,
    },
    /// Asks for an indirect check of a member that does not acknowledge the sender's own.
    IndirectCheckRequest {
        /// Identifies the check.
        nonce: u32,
        /// The peer to check.
        target: PeerIndex,
    },
    /// A check on another member's behalf.
    IndirectCheck {
        /// The check's.
        nonce: u32,
        /// The peer that requested it.
        requester: PeerIndex,
    },
    /// The acknowledgement of a [`Message::IndirectCheck`].
    IndirectCheckAck {
        /// The check's.
        nonce: u32,
        /// The peer that requested it.
        requester: PeerIndex,
        /// The member that was checked.
        from: Identity,
    },
    /// An acknowledgement, forwarded to the peer that requested the indirect check.
    ForwardedCheckAck {
        /// The check's.
        nonce: u32,
        /// The member that was checked.
        from: Identity,
    },
    /// The sender's view differs: these are its hashes below a node of the hash tree.
    ViewHashes {
        /// The sender.
        from: Identity,
        /// The node.
        prefix: HashPrefix,
        /// The hashes of its children, over the live members.
        hashes: ChildHashes,
    },
    /// Members that the sender knows below a node of the hash tree, or a suspicion that a suspect
    /// may refute.
    ViewMembers {
        /// The sender.
        from: Identity,
        /// The node whose members the receiver has to send in turn.
        requested: Option<HashPrefix>,
        /// The members, as far as they fit.
        members: Vec<Member<Identity>>,
    },
}
