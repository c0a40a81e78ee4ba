package org.heatherhaven.core.message;

/** A control message from one node to another; it may be lost, duplicated, delayed or reordered. */
public sealed interface PeerMessage
        permits Probe,
                ProbeAck,
                ProbeRequest,
                MembersPull,
                MembersPage,
                PolicyPull,
                PolicyPage,
                LeaseRenewalRequest,
                LeaseRenewalGrant,
                LoanRequest,
                LoanGrant,
                PermitRequest,
                PermitResponse,
                PermitReport,
                LeaseHandover {}
