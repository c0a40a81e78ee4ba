package org.heatherhaven.core.logic.node;

import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.heatherhaven.core.logic.membership.MemberTables;
import org.heatherhaven.core.logic.membership.MembershipLogic;
import org.heatherhaven.core.logic.once.OnceLogic;
import org.heatherhaven.core.logic.placement.PlacementLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic;
import org.heatherhaven.core.logic.policy.PolicyLogic.PeerWord;
import org.heatherhaven.core.logic.quota.Borrowing;
import org.heatherhaven.core.logic.quota.Lending;
import org.heatherhaven.core.logic.quota.ShareOwners;
import org.heatherhaven.core.logic.rights.RightsLogic;
import org.heatherhaven.core.message.LeaseHandover;
import org.heatherhaven.core.message.LeaseRenewalGrant;
import org.heatherhaven.core.message.LeaseRenewalRequest;
import org.heatherhaven.core.message.LoanGrant;
import org.heatherhaven.core.message.LoanRequest;
import org.heatherhaven.core.message.MembersPage;
import org.heatherhaven.core.message.MembersPull;
import org.heatherhaven.core.message.PeerMessage;
import org.heatherhaven.core.message.PermitReport;
import org.heatherhaven.core.message.PermitRequest;
import org.heatherhaven.core.message.PermitResponse;
import org.heatherhaven.core.message.PolicyPage;
import org.heatherhaven.core.message.PolicyPull;
import org.heatherhaven.core.message.Probe;
import org.heatherhaven.core.message.ProbeAck;
import org.heatherhaven.core.message.ProbeRequest;
import org.heatherhaven.core.model.LeaseId;
import org.heatherhaven.core.model.Member;
import org.heatherhaven.core.model.NodeId;
import org.heatherhaven.core.model.Team;

/** Hands messages of peers to the parts that they concern. */
final class PeerTalk {

    private PeerTalk() {}

    static void heard(Step step, PeerMessage message) {
        if (message instanceof Probe probe) {
            onProbe(step, probe);
        } else if (message instanceof ProbeAck ack) {
            onProbeAck(step, ack);
        } else if (message instanceof ProbeRequest request) {
            MembershipLogic.relayed(step.fleet, request, step.rumours(), step.out);
        } else if (message instanceof MembersPull pull) {
            step.fleet = MemberTables.answerPull(step.fleet, pull, step.now, step.out);
        } else if (message instanceof MembersPage page) {
            noticeFormerSelf(step, page.members());
            step.fleet = MemberTables.page(step.fleet, page, step.now, step.out);
        } else if (message instanceof PolicyPull pull) {
            PolicyLogic.answerPull(step.policy, pull, step.out);
        } else if (message instanceof PolicyPage page) {
            step.policy = PolicyLogic.page(step.policy, page, step.out);
        } else {
            onRights(step, message);
        }
    }

    private static void onProbe(Step step, Probe probe) {
        step.fleet = MembershipLogic.probed(step.fleet, probe, step.rumours(), step.now, step.out);
        hearPolicy(step, probe.from(), probe.gossip().policyVersion(), Optional.empty());
    }

    private static void onProbeAck(Step step, ProbeAck ack) {
        // The answer was written after the probe was sent, so its age is safe when counted from there.
        Optional<Instant> confirmed = MembershipLogic.sentAt(step.fleet, ack)
                .map(sent -> sent.minusMillis(ack.gossip().confirmedAgoMillis()));
        step.fleet = MembershipLogic.acknowledged(step.fleet, ack, step.now);
        hearPolicy(step, ack.from(), ack.gossip().policyVersion(), confirmed);
    }

    private static void hearPolicy(Step step, Member peer, long version, Optional<Instant> confirmedAt) {
        boolean near = peer.zone().equals(step.fleet.self().zone());
        PeerWord word = new PeerWord(peer.id(), near, version, confirmedAt);
        step.policy = PolicyLogic.heard(step.policy, step.self(), word, step.now, step.out);
    }

    /** Peers that know an earlier process of this node count with it. */
    private static void noticeFormerSelf(Step step, List<Member> accounts) {
        Member self = step.fleet.self();
        boolean former = accounts.stream()
                .anyMatch(account -> account.id().equals(self.id()) && account.epoch() != self.epoch());
        if (former) {
            step.placement = PlacementLogic.knownBefore(step.placement, step.now);
        }
    }

    private static void onRights(Step step, PeerMessage message) {
        if (message instanceof LeaseRenewalRequest ask) {
            step.rights = RightsLogic.asked(step.rights, ask, step.now, step.out);
        } else if (message instanceof LeaseRenewalGrant give) {
            step.rights = RightsLogic.promised(step.rights, give);
        } else if (message instanceof LeaseHandover page) {
            HandOvers.received(step, page);
        } else if (message instanceof LoanRequest ask) {
            onLoanAsk(step, ask);
        } else if (message instanceof LoanGrant grant) {
            onLoanGrant(step, grant);
        } else if (message instanceof PermitRequest ask) {
            seekIfUnusable(step, ask.ledgerSlot());
            step.once = OnceLogic.asked(
                    step.once,
                    step.rights,
                    step.rules.ledger(),
                    ask,
                    whereElse(step, ask.ledgerSlot()),
                    step.now,
                    step.out);
        } else if (message instanceof PermitResponse answer) {
            Permits.answered(step, answer);
        } else if (message instanceof PermitReport report) {
            step.once = OnceLogic.reported(step.once, report);
        }
    }

    private static void onLoanAsk(Step step, LoanRequest ask) {
        if (step.rules.quota() == QuotaMode.LEASED) {
            seekIfUnusable(step, ask.share());
        }
        Optional<Team> team =
                Optional.ofNullable(step.policy.policy().teams().get(ask.share().name()));
        ShareOwners owners = step.shareOwners(team.stream().toList());
        step.quota = Lending.asked(step.quota, owners, team.map(owners::divided), ask, step.now, step.out);
    }

    private static void onLoanGrant(Step step, LoanGrant grant) {
        if (!grant.held() && step.rules.quota() == QuotaMode.LEASED) {
            step.rights = RightsLogic.located(step.rights, grant.share(), grant.believedHolder());
        }
        Team team = step.policy.policy().teams().get(grant.share().name());
        if (team != null) {
            step.quota = Borrowing.granted(step.quota, grant, team, step.borrowing(List.of(team)), step.out);
        }
    }

    /** Whoever is asked for a right that it can't use finds out where the right is, or creates it. */
    private static void seekIfUnusable(Step step, LeaseId right) {
        if (!step.rights.usable(right, step.now)) {
            step.rights = RightsLogic.lookUp(step.rights, right, step.now, step.out);
        }
    }

    private static Optional<NodeId> whereElse(Step step, LeaseId right) {
        return RightsLogic.whereIs(step.rights, right, step.fleet);
    }
}
